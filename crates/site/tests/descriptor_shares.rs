//! How the descriptors are divided.

use fuchsiamill_http::Bounds;
use fuchsiamill_site::descriptors::Shares;

/// Guards against kinds of connections that together take more descriptors than there are.
#[test]
fn shares_stay_below_the_limit() {
    for limit in (64..70_000).step_by(7) {
        let it = Shares::of(limit);
        let refused =
            |connections| Bounds { connections, ..Bounds::default() }.refused_connections();
        let listeners = it.callers + refused(it.callers) + 2 * (it.status + refused(it.status));
        let sum = listeners + it.caller_reads + it.relayed_calls + it.peers + it.own;
        assert!(sum <= limit, "{sum} of {limit}: {it:?}");
    }
}

/// Guards against fewer callers than before at the limit that processes run with.
#[test]
fn two_thousand_callers_are_taken_with_4100_descriptors() {
    assert_eq!(Shares::of(4_100).callers, 2_000);
}
