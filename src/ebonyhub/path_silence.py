"""Evidence that the open connections to an address have gone silent.

Something between two machines may lose track of their connections: those that are open
return nothing any more, while new ones work. All connections of that time are affected,
so a call without an answer speaks against each one that was last heard of before the
answer was due. A slow peer looks the same. It then costs one new connection for each
idle one, since those that have been heard of in the meantime are kept.
"""

# Seconds after a call, or after the peer held its answer back no longer, in which the
# answer may have been on its way when the connections went silent.
ANSWER_SECONDS = 0.25


class PathSilence:
    """What calls to one address have shown; all times are monotonic seconds.

    To be shared by all pools of connections to the address.
    """

    def __init__(self) -> None:
        # Connections that were last heard of up to then are suspect.
        self.suspect_until = float("-inf")

    def record_timeout(self, due_at: float, now: float) -> None:
        """Note that an answer that was due from ``due_at`` on has not come by ``now``.

        A call that had next to no time left shows nothing.
        """
        latest = due_at + ANSWER_SECONDS
        if now >= latest:
            self.suspect_until = max(self.suspect_until, latest)

    def is_suspect(self, heard_at: float) -> bool:
        """Return whether a connection that was last heard of then may be silent."""
        return heard_at <= self.suspect_until
