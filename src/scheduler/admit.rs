//! Arrivals: the load that a statement counts for, and whether it is admitted.

use crate::interface::{Arrival, FleetDemand, Micros, RejectReason};
use crate::load::Load;
use crate::policy::admission::{AdmissionOutcome, CustomerShare};
use crate::policy::client_retries::ArrivalTime;
use crate::policy::penalty::{class_weight, penalty};
use crate::statement::Statement;

use super::Scheduler;

impl Scheduler {
    /// Handles an arrival: the statement is held, or rejected if the fleet does not admit it.
    pub(super) fn on_arrival(&mut self, mut arrival: Arrival) {
        let now = self.clock.now;
        let (id, workload) = (arrival.statement, arrival.workload);
        let share =
            self.admission
                .customer_share(workload, arrival.customer, &mut self.random, now);
        let waited = self.time_waited(&arrival);
        self.estimates.record_arrival(workload, arrival.work);
        self.health_checks.record_statement();
        let agreement = &self.agreement.workloads[workload];
        arrival.order_key = arrival.order_key.filter(|_| agreement.in_order);
        self.order_queues.enqueue(arrival.order_key, id);
        let load = Load {
            threads: agreement.threads,
            memory: self.memory_need(&arrival),
        };
        let sticky = arrival.sticky_engine.is_some();
        let outcome = self
            .admission
            .check(workload, share, sticky, &mut self.random);
        if outcome == AdmissionOutcome::Admitted {
            self.retry_budget.record_admission(now);
        }
        let class = self.queues.class_of(workload, arrival.customer, share);
        let deadline = now + arrival.time_left;
        let statement = Statement::new(arrival, class, now - waited, deadline, load);
        self.statements.insert(id, statement);
        self.enqueue(id);
        if outcome == AdmissionOutcome::OverFleetQuota {
            self.reject(id, RejectReason::OverFleetQuota);
        }
    }

    /// The time for which a statement has already waited when it arrives.
    fn time_waited(&mut self, arrival: &Arrival) -> Micros {
        let time = ArrivalTime {
            time_left: arrival.time_left,
            statement_timeout: self.agreement.workloads[arrival.workload].statement_timeout,
            stall_duration: self.clock.stall_duration(),
        };
        self.client_retries.time_waited(arrival.workload, &time)
    }

    /// The memory that a statement counts for, in MB, limited to what the smallest engine kind may
    /// grant.
    fn memory_need(&self, arrival: &Arrival) -> f64 {
        let need = self
            .estimates
            .memory_need(arrival.workload, arrival.memory_mb);
        let kinds = self.agreement.memory_mb.iter().copied();
        let smallest = kinds.fold(f64::INFINITY, f64::min);
        need.min(smallest * self.agreement.max_grant_share)
    }

    /// Handles a change of the fleet's demand: admission follows the penalty at the fleet's
    /// conformance.
    pub(super) fn on_fleet_demand(&mut self, demand: &FleetDemand) {
        let mut admission = std::mem::take(&mut self.admission);
        admission.update_demand(demand, |workload, share, conformance| {
            penalty(conformance, self.class_weight(workload, share))
        });
        self.admission = admission;
        self.fleet.relative_demand = demand.relative;
    }

    /// The weight of a service class (the paper's delta).
    pub(super) fn class_weight(&self, workload: usize, share: CustomerShare) -> f64 {
        let share_weight = match share {
            CustomerShare::Within => 1.0,
            CustomerShare::Beyond => self.agreement.beyond_share_weight,
        };
        class_weight(
            self.agreement.workloads[workload].importance,
            share_weight,
            self.estimates.mean_work(workload),
        )
    }
}
