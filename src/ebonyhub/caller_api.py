"""HTTP application that serves callers."""

from blacksheep import Application, Request, Response, Router

from .decoding import describe
from .errors import ErrorKind, Refusal
from .events import Event, log_event
from .relay import Relay


class CallerApi(Application):
    """Passes each caller request to the relay, whatever its path."""

    def __init__(self, relay: Relay) -> None:
        super().__init__(router=Router())
        self.relay = relay

    async def handle(self, request: Request) -> Response:
        """Return the response to one request; bypasses the router of the base class.

        An unexpected exception is logged and becomes an internal error response.
        """
        try:
            return await self.relay.handle(request)
        except Exception as error:
            log_event(Event.REQUEST_FAILED, error=describe(error))
            return self.relay.refuse(Refusal(ErrorKind.INTERNAL))
