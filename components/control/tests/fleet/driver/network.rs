//! Executes the effects of the state machines: messages and calls over a network with faults.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::driver::Call;
use crate::driver::Event;
use crate::driver::Fleet;
use crate::driver::SECOND;
use crate::driver::checker;
use crate::driver::checker::HistoryEvent;
use control::CallId;
use control::Effect;
use control::Input;
use kernel::Random;
use spread::PullResponse;

/// Time after which a control call without a response fails, in microseconds.
const CALL_TIMEOUT: u64 = 2 * SECOND;

impl Fleet {
    /// Executes one effect of a node.
    pub(super) fn execute(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let bytes = wire::datagram::encode(&message);
                self.counters.datagrams += 1;
                self.counters.datagram_bytes += bytes.len() as u64 + 28;
                let message = if self.recording {
                    let decoded = wire::datagram::decode(&bytes);
                    let decoded = decoded.expect("a message survives its encoding");
                    assert_eq!(decoded.malformed, 0);
                    decoded.message
                } else {
                    message
                };
                let from = self.nodes[index].address;
                self.deliver(index, to, Input::Datagram { from, message });
            }
            Effect::Pull { from, have } => {
                self.call(index, from, true, 32, |call_id| Input::PullRequested {
                    call_id,
                    have,
                });
            }
            Effect::Sync { to, request } => {
                let bytes = encoded_size(&wire::sync::SyncRequest::from(&request));
                self.call(index, to, false, bytes, |call_id| Input::SyncRequested {
                    call_id,
                    request,
                });
            }
            Effect::RespondToPull {
                call_id,
                mut response,
            } => {
                if self.draw_fault(self.faults.corrupt) {
                    checker::corrupt(&mut response);
                }
                self.counters.call_bytes +=
                    encoded_size(&wire::control::PullResponse::from(&response));
                self.complete_call(call_id, Some(response), None);
            }
            Effect::RespondToSync { call_id, response } => {
                self.counters.call_bytes +=
                    encoded_size(&wire::sync::SyncResponse::from(&response));
                self.complete_call(call_id, None, Some(response));
            }
            Effect::Publish(topology) => {
                if self.recording {
                    let event = HistoryEvent::Published(Arc::clone(&topology));
                    self.history.add(self.now, index, event);
                }
                self.nodes[index].topology = Some(topology);
            }
            Effect::ConfigRefused { .. } => {}
            call => {
                self.counters.store_calls += u64::from(!matches!(call, Effect::CancelConfigCall));
                let deliveries = self.store.call(index, call, &mut self.random);
                self.deliver_all(deliveries);
            }
        }
    }

    /// Schedules the inputs by which the store answers nodes.
    pub(crate) fn deliver_all(&mut self, deliveries: Vec<(usize, u64, Input)>) {
        for (index, delay, input) in deliveries {
            let process = self.nodes[index].process;
            self.push(self.now + delay, Event::Input(index, process, input));
        }
    }

    /// Whether a fault that occurs `per_mille` times in a thousand occurs now.
    fn draw_fault(&mut self, per_mille: usize) -> bool {
        per_mille > 0 && self.random.below(1_000) < per_mille
    }

    /// Time in microseconds that a message takes from one instance to another; `None` if it is lost.
    fn draw_latency(&mut self, from: usize, to: usize) -> Option<u64> {
        if self.nodes[from].partition != self.nodes[to].partition
            || self.draw_fault(self.faults.loss)
        {
            return None;
        }
        let same_domain = self.nodes[from].domain == self.nodes[to].domain;
        let base = if same_domain { 300 } else { 1_500 };
        Some(base + (self.random.below(1_000) + self.random.below(self.faults.delay)) as u64)
    }

    fn deliver(&mut self, index: usize, to: SocketAddr, input: Input) {
        if let Some(to) = self.by_address.get(&to).copied()
            && let Some(latency) = self.draw_latency(index, to)
        {
            let process = self.nodes[to].process;
            self.push(self.now + latency, Event::Input(to, process, input));
        }
    }

    fn call(
        &mut self,
        index: usize,
        to: SocketAddr,
        pull: bool,
        bytes: u64,
        input: impl FnOnce(CallId) -> Input,
    ) {
        self.counters.calls += 1;
        // Overhead of the TCP packets and of the frame of the call.
        self.counters.call_bytes += 400 + bytes;
        self.sequence += 1;
        let call_id = CallId(self.sequence);
        let process = self.nodes[index].process;
        let callee = self.by_address.get(&to).copied();
        let refused = callee.is_none_or(|it| !self.nodes[it].up);
        self.calls.insert(
            call_id,
            Call {
                caller: index,
                process,
                to,
                pull,
            },
        );
        let timeout = if refused { 2_000 } else { CALL_TIMEOUT };
        self.push(self.now + timeout, Event::Expire(call_id));
        if !refused {
            self.deliver(index, to, input(call_id));
        }
    }

    /// Completes a control call with the response of its callee; without a response, the call has
    /// failed.
    pub(super) fn complete_call(
        &mut self,
        call_id: CallId,
        pull_response: Option<PullResponse>,
        sync_response: Option<member::SyncResponse>,
    ) {
        let Some(call) = self.calls.remove(&call_id) else {
            return;
        };
        let from = call.to;
        let failed = pull_response.is_none() && sync_response.is_none();
        let input = if call.pull {
            Input::PullCompleted {
                from,
                response: pull_response,
            }
        } else {
            Input::SyncCompleted {
                from,
                response: sync_response,
            }
        };
        let latency = match self.by_address.get(&from).copied() {
            Some(callee) if !failed => self.draw_latency(callee, call.caller),
            _ => Some(0),
        };
        match latency {
            // Opening the connection takes one more round trip.
            Some(latency) => self.push(
                self.now + 3 * latency,
                Event::Input(call.caller, call.process, input),
            ),
            None => {
                self.calls.insert(call_id, call);
            }
        }
    }
}

/// Encoded size of a message, in bytes.
fn encoded_size(message: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() as u64)
}
