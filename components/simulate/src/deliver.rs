//! Delivery of messages to the entry and to the owners.

use crate::Simulation;
use crate::entry_call::failure_report;
use crate::message::Message;
use crate::node::PendingRequest;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use traffic::owner;
use traffic::owner::IncomingRequest;

impl Simulation {
    /// Handles a message at its destination. If no process listens there, a request is refused, a
    /// fetch finds nothing, and an outcome query or a cancellation has no effect.
    pub(crate) fn deliver(&mut self, message: Message) {
        match message {
            Message::Request {
                to,
                call_index,
                incoming,
            } => match self.find_owner_by_address(to) {
                Some(owner) => self.handle_request(owner, call_index, incoming),
                None => self.refuse_connection(call_index, &incoming),
            },
            Message::Response {
                call_index,
                attempt,
                report,
                payload,
            } => self.handle_report(call_index, attempt, report, payload),
            Message::OutcomeQuery {
                to,
                call_index,
                query,
            } => {
                if let Some(owner) = self.find_owner_by_address(to) {
                    let tag = self.owners[owner].next_tag();
                    let sender = (call_index, query.attempt);
                    self.owners[owner].queries.insert(tag, sender);
                    self.step_owner(owner, owner::Input::OutcomeQueried { tag, query });
                }
            }
            Message::OutcomeReport {
                call_index,
                attempt,
                outcome,
            } => self.handle_outcome(call_index, attempt, outcome),
            Message::Cancel {
                to,
                call_index,
                attempt,
            } => self.handle_cancel(to, call_index, attempt),
            Message::Fetch {
                to,
                call_index,
                attempt,
                id,
            } => {
                let owner_with_response = self.find_owner_by_address(to).filter(|owner| {
                    !self.owners[*owner].paused
                        && self.owners[*owner].stored_responses.contains(&id)
                });
                let payload = owner_with_response.map(|_| id);
                self.send(Message::FetchResult {
                    call_index,
                    attempt,
                    payload,
                });
            }
            Message::FetchResult {
                call_index,
                attempt,
                payload,
            } => self.handle_fetch_result(call_index, attempt, payload),
        }
    }

    fn handle_request(&mut self, owner: usize, call_index: usize, incoming: IncomingRequest) {
        let first = self.history.record_arrival(self.now, &incoming);
        // A further copy of an attempt reaches only the process that the attempt was sent to: a
        // sender reads the identifier of the process when it opens a connection, so that no copy
        // reaches a process that has replaced it.
        if !first && self.owners[owner].id != incoming.intended_owner {
            return;
        }
        let tag = self.owners[owner].next_tag();
        let incoming = IncomingRequest { tag, ..incoming };
        self.owners[owner].pending_requests.insert(
            tag,
            PendingRequest {
                call_index,
                incoming,
            },
        );
        self.step_owner(owner, owner::Input::Arrived(incoming));
    }

    /// Reports to the entry that the connection for an attempt was refused. Only for the first copy
    /// of the attempt is it certain that the attempt has not run.
    fn refuse_connection(&mut self, call_index: usize, incoming: &IncomingRequest) {
        let report = if self.history.record_arrival(self.now, incoming) {
            self.history
                .record_not_run(incoming.intended_owner, incoming.id, incoming.attempt);
            failure_report(Verdict::NotRun, Reason::ConnectFailed)
        } else {
            failure_report(Verdict::MayHaveRun, Reason::ConnectionBroken)
        };
        self.handle_report(call_index, incoming.attempt, report, None);
    }

    /// Cancels all copies of an attempt at its owner.
    fn handle_cancel(&mut self, to: NodeId, call_index: usize, attempt: u32) {
        let Some(owner) = self.owners.iter().position(|it| it.id == to && !it.exited) else {
            return;
        };
        let pending_requests = self.owners[owner].pending_requests.iter();
        let tags: Vec<u64> = pending_requests
            .filter(|(_, it)| it.call_index == call_index && it.incoming.attempt == attempt)
            .map(|(tag, _)| *tag)
            .collect();
        for tag in tags {
            self.step_owner(owner, owner::Input::Cancelled { tag });
        }
    }
}
