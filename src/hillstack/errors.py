"""The exception tree.

Every error names the step at which it arose and, where one is involved, the peer.
"""


class HillstackError(Exception):
    """Base of all errors raised by hillstack.

    Args:
        message: What went wrong, for a person.
        step: The step of the work at which it arose, for example ``"connect"``.
        peer: The other party, an address or an identifier; empty when none is involved.
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


class PlatformError(HillstackError):
    """The key-value service or the machine list failed."""


class PlatformUnavailableError(PlatformError):
    """The platform could not be reached; the operation did not take effect."""


class PlatformThrottledError(PlatformUnavailableError):
    """The platform is there, and refused the operation since too many were asked for."""


class PlatformOutcomeUnknownError(PlatformError):
    """The answer was lost; the operation may have taken effect."""


class OutdatedAnswerError(PlatformOutcomeUnknownError):
    """The answer is of a state that the key-value service has lost: it came back with an older one.

    What a write did is lost with it, or was done after all in the state that stands.
    """


class HistoryLostError(PlatformError):
    """The key-value service no longer has the changes since a revision, or was restored since."""


class BackendError(HillstackError):
    """A back end failed."""


class RunnerRestartedError(BackendError):
    """Another process of the same name answered: the one that was asked has ended."""


class BackendRefusedError(BackendError):
    """The back end did not take the request; no byte of it was processed."""


class BackendBrokenError(BackendError):
    """The back end failed after the request may have reached it."""


class ConnectionLostError(BackendBrokenError):
    """The back end closed or reset the connection before its answer was complete.

    Its process may have ended. A connection that went silent, or bytes that make no answer, are
    other errors.
    """


class CrossedAnswerError(BackendBrokenError):
    """The back end sent the answer of another request."""
