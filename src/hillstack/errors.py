"""The exception hierarchy.

Every error contains the step at which it occurred and the peer, if one is involved.
"""


class HillstackError(Exception):
    """Base of all errors raised by hillstack.

    Args:
        message: Human-readable description of the failure.
        step: The operation in which the error occurred, for example ``"connect"``.
        peer: Address or identifier of the other party; empty if none is involved.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step} at {self.peer}" if self.peer else self.step
        return f"{self.message} (step: {where})"


class SettingsError(HillstackError):
    """A settings file or flag is invalid."""


class BundleError(HillstackError):
    """A bundle is invalid, unsigned or out of order."""


class SignatureError(BundleError):
    """A signature is missing, unknown or wrong."""


class RolloutConflictError(BundleError):
    """Another bundle became the head first."""


class CodecError(HillstackError):
    """A peer message is malformed, of another protocol version or not authentic."""


class PeerError(HillstackError):
    """A peer did not answer or answered with an error."""


class RelayError(PeerError):
    """A peer did not relay a connection to a runner; no byte reached the runner."""


class PlatformError(HillstackError):
    """The key-value service or the machine list failed."""


class PlatformUnavailableError(PlatformError):
    """The platform could not be reached; the operation did not take effect."""


class PlatformThrottledError(PlatformUnavailableError):
    """The platform was reached and refused the operation because of too many requests."""


class PlatformOutcomeUnknownError(PlatformError):
    """The answer was lost; the operation may have taken effect."""


class OutdatedAnswerError(PlatformOutcomeUnknownError):
    """The answer comes from a state that the key-value service lost in a restore from an older one.

    The effect of a write is lost with that state, or the write took effect in the restored state.
    """


class HistoryLostError(PlatformError):
    """The key-value service no longer has the changes since a revision, or was restored since."""


class BackendError(HillstackError):
    """A back end failed."""


class BackendStatusError(BackendError):
    """The back end answered a call with a status other than success."""


class UnreadableAnswerError(BackendError):
    """The back end answered, and the body of its answer can't be decoded."""


class OtherProcessError(BackendStatusError):
    """The back end answered that it is another process than the one that was addressed."""


class RunnerRestartedError(BackendError):
    """Another process with the same name answered, so the process that was addressed has ended."""


class BackendRefusedError(BackendError):
    """The back end refused the request; no byte of it was processed."""


class BackendBrokenError(BackendError):
    """The back end failed after the request may have reached it."""


class ConnectionLostError(BackendBrokenError):
    """The back end closed or reset the connection before its answer was complete.

    The process of the back end may have crashed. A connection that became silent, or an answer that
    can't be parsed, raises another error.
    """


class CrossedAnswerError(BackendBrokenError):
    """The back end sent the answer of another request."""
