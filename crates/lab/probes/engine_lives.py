"""One real front, two engines, statements of one workload; Python's standard library alone. Exit status 1: the rule was broken.

usage: engine_lives.py FRONT again|address safe|once|keyed [SEED]

again: a client leaves, and its statement's id comes again on another connection (CANCEL=0: engines can't be asked to cancel).
address: an engine's process dies, and one of another cell comes up at its address LAG seconds before the list tells of it. Repeats of a
keyed statement may go to its own cell alone."""
import asyncio, json, os, random, struct, subprocess, sys, tempfile, time
front, scene, klass = sys.argv[1:4]
seed = sys.argv[4] if len(sys.argv) > 4 else "1"
random.seed(seed)
folder = tempfile.mkdtemp()
EP, PORT, CP = 9691, 9690, 9692
cancelling = os.environ.get('CANCEL','1')=='1'
def s(t): b=t.encode() if isinstance(t,str) else t; return struct.pack('>i',len(b))+b
def frame(i): return struct.pack('>i',len(i))+i
def call(seq, ident, body, limit=3000):
    fields=[('verb',klass),('txn',ident),('limit',str(limit)),('cpu','10.0'),('heap_mb','10')]
    if klass!='safe': fields+=[('item','k'+ident[:6])]
    if klass=='keyed': fields+=[('unique',ident*2)]
    m=b''.join(s(k)+s(v) for k,v in fields)
    return frame(struct.pack('>I',0x80010001)+s('serve')+struct.pack('>i',seq)+struct.pack('>bh',13,1)+struct.pack('>bbi',11,11,len(fields))+m+struct.pack('>bh',11,2)+s(body)+b'\0')
runs=[]  # [id, engine process, start, end or None]
def engine_at(name, work):
    conns=set()
    async def handle(r,w):
        conns.add(w); mine={}
        async def done(ident,row):
            await asyncio.sleep(work); row[3]=time.time()
            body=b'a\tb\tc\n'
            try: w.write(f'{ident} ACK batches=1 {len(body)}\r\n'.encode()+body+b'\r\n')
            except Exception: pass
        try:
            while line:=await r.readline():
                words=line.decode(errors='replace').split()
                if not words: continue
                if words[0]=='want':
                    await r.readexactly(int(words[3])+2); row=[words[1],name,time.time(),None,None]; runs.append(row)
                    mine[words[1]]=asyncio.ensure_future(done(words[1],row)); row[4]=mine[words[1]]
                elif words[0]=='never_mind' and words[1] in mine: mine.pop(words[1]).cancel()
                elif words[0] in('there','busy'): w.write(f'{words[1]} READY - 0\r\n\r\n'.encode())
        except (ConnectionError,asyncio.IncompleteReadError): pass
        finally: conns.discard(w); w.close()
    return handle, conns
log=[]; waiting=[]
async def coordinator(r,w):
    try:
        while True:
            head=await r.readuntil(b'\r\n\r\n'); line=head.split()[1].decode()
            n=int(line.split('follow=')[1].split('&')[0]); ms=int(line.split('wait_ms=')[1].split('&')[0])
            until=time.time()+ms/1000
            while len(log)<=n-1+0 and time.time()<until: await asyncio.sleep(.005)
            new=[e for e in log if e['index']>n]
            body=json.dumps({"index":max([e['index'] for e in log],default=n),"updates":new}).encode()
            w.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Type: application/json\r\n\r\n'%len(body)+body)
            if not new: await asyncio.sleep(.05)
    except Exception: w.close()
def srv(i,addr,cell,state='up'): return {"id":i,"addr":f"{addr}:{EP}","zone":"here","kind":"std","cell":cell,"state":state,"weight":1,"started_ms":0}
async def main():
    a,ac=engine_at('A',.5); b,bc=engine_at('B',.05); c,_=engine_at('C',.5)
    sa=await asyncio.start_server(a,'127.2.0.1',EP); await asyncio.start_server(c,'127.2.0.2',EP); await asyncio.start_server(coordinator,'127.0.0.1',CP)
    known={"index":1,"endpoints":{"version":1,"full":True,"servers":[srv('s-a','127.2.0.1',0),srv('s-c','127.2.0.2',1 if scene=='address' else 0)]}}
    log.append(known)
    cl=[{"name":"safe","aimMs":500,"deadlineMs":3000,"repeat":"repeatable"},{"name":"once","aimMs":500,"deadlineMs":3000,"repeat":"once","inTurn":True},{"name":"keyed","aimMs":500,"deadlineMs":3000,"repeat":"by_key","group":"cell","dedupWindowMs":5000,"inTurn":True}]
    conf={"name":"n1","listen":f"127.0.0.1:{PORT}","coordinator":f"127.0.0.1:{CP}","seed":"8c1f30d27a5be964","limits":{"memory_mb":64,"sockets":1024},"known":{"index":1,"updates":[known]},
     "settings":{"instances":1,"areas":["here"],"kinds":["std"],"rules":{},"bounds":{"cancelling":cancelling,"mostTries":3,"retryShare":0.5},"extra":{"sizeCores":[8],"memoryByKindMb":[16384]},"requestClasses":cl}}
    path=f'{folder}/front.json'; open(path,'w').write(json.dumps(conf))
    p=subprocess.Popen([front],env={**os.environ,'NODE_CONFIG':path},stderr=open(path[:-5]+'.log','w'))
    while True:
        try: r,w=await asyncio.open_connection('127.0.0.1',PORT); w.close(); break
        except OSError: await asyncio.sleep(.02)
    left={}
    if scene=='again':
        for k in range(60):
            ident=f'{random.getrandbits(64):016x}'
            r,w=await asyncio.open_connection('127.0.0.1',PORT); w.write(call(1,ident,'insert into s_1.t values (1)'))
            await asyncio.sleep(random.choice([.002,.03,.1]))
            (w.transport.abort if k%2 else w.close)(); left[ident]=time.time()
            await asyncio.sleep(random.choice([0,.005,.05]))
            r2,w2=await asyncio.open_connection('127.0.0.1',PORT); w2.write(call(1,ident,'insert into s_1.t values (1)'))
            await asyncio.sleep(.05)
        await asyncio.sleep(3.5)
    else:
        async def send(n,gap):
            r,w=await asyncio.open_connection('127.0.0.1',PORT)
            for q in range(n):
                if q%10==0: r,w=await asyncio.open_connection('127.0.0.1',PORT)
                w.write(call(q+1,f'{random.getrandbits(64):016x}','insert into s_1.t values (1)')); await asyncio.sleep(gap)
        t=asyncio.ensure_future(send(int(os.environ.get("N","700")),float(os.environ.get("GAP",".006")))); await asyncio.sleep(1)
        sa.close()
        for w in list(ac): w.transport.abort()          # A's process dies
        for row in runs:
            if row[1]=='A' and row[3] is None:      # half of what ran there takes effect at its death
                row[4].cancel(); row[3]=time.time() if random.random()<.5 else None
        sb=await asyncio.start_server(b,'127.2.0.1',EP); died=time.time()   # B comes up at its address, in another cell
        await asyncio.sleep(float(os.environ.get('LAG','.5')))
        log.append({"index":2,"endpoints":{"version":2,"full":False,"servers":[srv('s-a','127.2.0.1',0,'removed'),srv('s-b','127.2.0.1',7)]}}); told=time.time()
        await t; await asyncio.sleep(4)
        print('   to B before the list told of it:',sum(1 for x in runs if x[1]=='B' and x[2]<told),'after:',sum(1 for x in runs if x[1]=='B' and x[2]>=told))
    by={}
    for x in runs: by.setdefault(x[0],[]).append(x)
    overlap=sum(1 for v in by.values() for i,x in enumerate(v) for y in v[i+1:] if (x[3] is None and not (x[4].cancelled() or x[4].cancelling())) or (x[3] and y[2]<x[3]))
    twice=sum(1 for v in by.values() if sum(x[3] is not None for x in v)>1)
    other=sum(1 for v in by.values() if len({x[1] for x in v})>1)
    moved=sum(1 for v in by.values() if {'A','B'} <= {x[1] for x in v})
    broken=klass!='safe' and (overlap or twice or moved)
    print(f'{scene} {klass} seed {seed} cancelling {cancelling}: ids {len(by)}, sent more than once {sum(len(v)>1 for v in by.values())}, '
          f'to the process that took the place of the first {moved}, overlapping {overlap}, took effect twice {twice}: {"BROKEN" if broken else "held"}')
    p.kill(); sys.stdout.flush(); os._exit(1 if broken else 0)
asyncio.run(main())
