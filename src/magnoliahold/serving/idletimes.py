"""How long a connection has been idle, as its caller sees it."""

from __future__ import annotations

from attrs import define

# An answer is seen to be taken at most this part of the idle timeout too late. Callers
# leave a fifth of it when they use a connection again.
LOOKS_PER_TIMEOUT = 10
# How many idle timeouts a caller may take nothing of an answer that waits for it.
STALLED_TIMEOUTS = 2


@define
class IdleTime:
    """Since when a caller has neither sent anything nor taken any of an answer."""

    since: float
    _untaken_bytes: int = 0

    def restart(self, now: float) -> None:
        """Begins anew: bytes came, or an answer is complete."""
        self.since = now
        self._untaken_bytes = 0

    def note_untaken(self, untaken_bytes: int, now: float) -> bool:
        """Begins anew if the caller has taken some since the last look.

        One that has taken the rest since then may only just have done so.
        """
        has_taken = untaken_bytes != self._untaken_bytes
        if has_taken:
            self._untaken_bytes = untaken_bytes
            self.since = now
        return has_taken
