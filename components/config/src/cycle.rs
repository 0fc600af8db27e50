//! Detection of circular dependencies between services.

use crate::Service;
use crate::ServiceKey;
use kernel::Arena;

/// State of a service in the depth-first search.
#[derive(Clone, Copy, PartialEq, Eq)]
enum VisitState {
    Unvisited,
    InProgress,
    Done,
}

/// Returns the services along one circular dependency, in order; `None` if there is none.
pub(crate) fn find_cycle(services: &Arena<Service>) -> Option<Vec<ServiceKey>> {
    let mut states = vec![VisitState::Unvisited; services.len()];
    for (start, _) in services.iter() {
        if states[start.index()] != VisitState::Unvisited {
            continue;
        }
        states[start.index()] = VisitState::InProgress;
        // Services from `start` to the current one, each with the index of its next dependency to
        // visit. An explicit stack instead of recursion, because a chain of dependencies can
        // include all services.
        let mut path = vec![(start, 0)];
        while let Some((key, next_index)) = path.last_mut() {
            let dependencies = services.get(*key).map_or(&[][..], |it| &it.dependencies);
            let Some(dependency) = dependencies.get(*next_index).copied() else {
                states[key.index()] = VisitState::Done;
                path.pop();
                continue;
            };
            *next_index += 1;
            match states[dependency.index()] {
                VisitState::Done => {}
                VisitState::Unvisited => {
                    states[dependency.index()] = VisitState::InProgress;
                    path.push((dependency, 0));
                }
                VisitState::InProgress => {
                    let cycle = path.iter().map(|(key, _)| *key);
                    return Some(cycle.skip_while(|key| *key != dependency).collect());
                }
            }
        }
    }
    None
}
