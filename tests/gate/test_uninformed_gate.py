"""A proxy that starts again does not know yet which versions are withdrawn.

Other proxies send it requests as soon as it accepts connections. If its gate admits
them before the configuration and the moves are known, a withdrawn version is used
again.
"""

from __future__ import annotations

from jayswitch.proxy import reasons
from jayswitch.proxy.outcome import Answered, NotRun
from tests.load.test_fast_failing_upstream import FaultyService


class TestUninformedGate:
    """Guards against requests before the state of moves and evacuations is known."""

    def test_requests_are_refused_until_the_state_is_known(self) -> None:
        service = FaultyService()
        service.upstream.faulty = False
        service.gate.is_informed = lambda: False
        service.send(1)
        (refused,) = service.outcomes
        assert isinstance(refused, NotRun)
        assert refused.reason == reasons.STARTING
        assert not service.upstream.received
        service.gate.is_informed = lambda: True
        service.send(2)
        assert isinstance(service.outcomes[1], Answered)
