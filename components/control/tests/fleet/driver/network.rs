//! Effects of the machines: messages, calls and what the network does to them.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::driver::Call;
use crate::driver::Event;
use crate::driver::Fleet;
use crate::driver::SECOND;
use crate::driver::checker;
use crate::driver::checker::Fact;
use control::CallId;
use control::Effect;
use control::Input;
use kernel::Random;
use spread::PullResponse;

/// Time after which a caller gives a control call up.
const CALL_LIMIT: u64 = 2 * SECOND;

impl Fleet {
    pub(super) fn carry_out(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let bytes = wire::datagram::encode(&message);
                self.tally.datagrams += 1;
                self.tally.datagram_bytes += bytes.len() as u64 + 28;
                let message = if self.record {
                    wire::datagram::decode(&bytes).expect("a message survives its encoding")
                } else {
                    message
                };
                let from = self.nodes[at].address;
                self.deliver(at, to, Input::Datagram { from, message });
            }
            Effect::Pull { from, have } => {
                self.call(at, from, true, 32, |call_id| Input::PullRequested {
                    call_id,
                    have,
                });
            }
            Effect::Sync { to, request } => {
                let bytes = size(&wire::sync::Ask::from(&request));
                self.call(at, to, false, bytes, |call_id| Input::SyncRequested {
                    call_id,
                    request,
                });
            }
            Effect::RespondToPull { call_id, mut offer } => {
                if self.happens(self.faults.corrupt) {
                    checker::corrupt(&mut offer);
                }
                self.tally.call_bytes += size(&wire::control::Offer::from(&offer));
                self.answer(call_id, Some(offer), None);
            }
            Effect::RespondToSync { call_id, response } => {
                self.tally.call_bytes += size(&wire::sync::Answer::from(&response));
                self.answer(call_id, None, Some(response));
            }
            Effect::Publish(topology) => {
                if self.record {
                    let fact = Fact::Published(Arc::clone(&topology));
                    self.history.add(self.now, at, fact);
                }
                self.nodes[at].topology = Some(topology);
            }
            Effect::ConfigRefused { .. } => {}
            call => {
                self.tally.store_calls += u64::from(!matches!(call, Effect::CancelConfigCall));
                let answers = self.store.call(at, call, &mut self.random);
                self.tell(answers);
            }
        }
    }

    /// Delivers answers of the store.
    pub(crate) fn tell(&mut self, answers: Vec<(usize, u64, Input)>) {
        for (at, delay, input) in answers {
            let process = self.nodes[at].process;
            self.push(self.now + delay, Event::Input(at, process, input));
        }
    }

    fn happens(&mut self, per_mille: usize) -> bool {
        per_mille > 0 && self.random.below(1_000) < per_mille
    }

    /// The way from one instance to another; `None` if the message is lost.
    fn travel(&mut self, at: usize, to: usize) -> Option<u64> {
        if self.nodes[at].group != self.nodes[to].group || self.happens(self.faults.loss) {
            return None;
        }
        let near = self.nodes[at].domain == self.nodes[to].domain;
        let way = if near { 300 } else { 1_500 };
        Some(way + (self.random.below(1_000) + self.random.below(self.faults.delay)) as u64)
    }

    fn deliver(&mut self, at: usize, to: SocketAddr, input: Input) {
        if let Some(to) = self.by_address.get(&to).copied()
            && let Some(way) = self.travel(at, to)
        {
            let process = self.nodes[to].process;
            self.push(self.now + way, Event::Input(to, process, input));
        }
    }

    fn call(
        &mut self,
        at: usize,
        to: SocketAddr,
        pull: bool,
        bytes: u64,
        input: impl FnOnce(CallId) -> Input,
    ) {
        self.tally.calls += 1;
        // Packets of a TCP connection and envelope of the call.
        self.tally.call_bytes += 400 + bytes;
        self.sequence += 1;
        let call_id = CallId(self.sequence);
        let process = self.nodes[at].process;
        let callee = self.by_address.get(&to).copied();
        let refused = callee.is_none_or(|it| !self.nodes[it].up);
        self.calls.insert(
            call_id,
            Call {
                asker: at,
                process,
                to,
                pull,
            },
        );
        let limit = if refused { 2_000 } else { CALL_LIMIT };
        self.push(self.now + limit, Event::Expire(call_id));
        if !refused {
            self.deliver(at, to, input(call_id));
        }
    }

    pub(super) fn answer(
        &mut self,
        call_id: CallId,
        offer: Option<PullResponse>,
        response: Option<member::SyncResponse>,
    ) {
        let Some(call) = self.calls.remove(&call_id) else {
            return;
        };
        let from = call.to;
        let empty = offer.is_none() && response.is_none();
        let input = if call.pull {
            Input::PullCompleted { from, offer }
        } else {
            Input::SyncCompleted { from, response }
        };
        let way = match self.by_address.get(&from).copied() {
            Some(callee) if !empty => self.travel(callee, call.asker),
            _ => Some(0),
        };
        match way {
            // Opening the connection costs one more round trip.
            Some(way) => self.push(
                self.now + 3 * way,
                Event::Input(call.asker, call.process, input),
            ),
            None => {
                self.calls.insert(call_id, call);
            }
        }
    }
}

fn size(message: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() as u64)
}
