//! What each message does where it arrives.

use crate::World;
use crate::message::Message;
use crate::node::Task;
use crate::shell::failed;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use traffic::owner;
use traffic::owner::IncomingRequest;

impl World {
    pub(crate) fn deliver(&mut self, message: Message) {
        match message {
            Message::Offer { to, shell, offer } => match self.node_at(to) {
                Some(at) => self.offer(at, shell, offer),
                None => self.refuse_connection(shell, &offer),
            },
            Message::Answer {
                shell,
                attempt,
                report,
                payload,
            } => self.answered(shell, attempt, report, payload),
            Message::Query { to, shell, query } => {
                if let Some(at) = self.node_at(to) {
                    let tag = self.nodes[at].tag();
                    let asker = (shell, query.attempt);
                    self.nodes[at].queries.insert(tag, asker);
                    self.step_owner(at, owner::Input::OutcomeQueried { tag, query });
                }
            }
            Message::Tell {
                shell,
                attempt,
                outcome,
            } => self.told(shell, attempt, outcome),
            Message::Cancel { to, shell, attempt } => self.cancel_at(to, shell, attempt),
            Message::Fetch {
                to,
                shell,
                attempt,
                id,
            } => {
                let stored = self
                    .node_at(to)
                    .filter(|at| !self.nodes[*at].paused && self.nodes[*at].stored.contains(&id));
                let payload = stored.map(|_| id);
                self.send(Message::Fetched {
                    shell,
                    attempt,
                    payload,
                });
            }
            Message::Fetched {
                shell,
                attempt,
                payload,
            } => self.fetched(shell, attempt, payload),
        }
    }

    fn offer(&mut self, at: usize, shell: usize, offer: IncomingRequest) {
        let first = self.history.offered(self.now, &offer);
        // Copies of an attempt come over connections to one process; its successor gets none of
        // them, because a sender begins each connection by reading the process's id.
        if !first && self.nodes[at].id != offer.intended_owner {
            return;
        }
        let tag = self.nodes[at].tag();
        let offer = IncomingRequest { tag, ..offer };
        self.nodes[at].tasks.insert(tag, Task { shell, offer });
        self.step_owner(at, owner::Input::Arrived(offer));
    }

    fn refuse_connection(&mut self, shell: usize, offer: &IncomingRequest) {
        let report = if self.history.offered(self.now, offer) {
            self.history
                .claimed(offer.intended_owner, offer.id, offer.attempt);
            failed(Verdict::NotRun, Reason::ConnectFailed)
        } else {
            failed(Verdict::MayHaveRun, Reason::ConnectionBroken)
        };
        self.answered(shell, offer.attempt, report, None);
    }

    fn cancel_at(&mut self, to: NodeId, shell: usize, attempt: u32) {
        let Some(at) = self.nodes.iter().position(|it| it.id == to && !it.gone) else {
            return;
        };
        let tasks = self.nodes[at].tasks.iter();
        let tags: Vec<u64> = tasks
            .filter(|(_, it)| it.shell == shell && it.offer.attempt == attempt)
            .map(|(tag, _)| *tag)
            .collect();
        for tag in tags {
            self.step_owner(at, owner::Input::Cancelled { tag });
        }
    }
}
