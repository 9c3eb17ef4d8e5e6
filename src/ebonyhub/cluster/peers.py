"""Streams between entries: msgpack arrays over TCP.

Each follower keeps one stream to the leader, or to any other entry while the leader is
unknown. It sends the leader the records that it stored and receives the states of all
jobs. Either side forwards calls that it cannot carry out itself, for instance because
its store calls fail.

The first array on a stream is the handshake of the connecting entry: protocol version,
entry id, process start in ms since the Unix epoch, and the cores that it could use as
leader. The accepting side answers with the leader that it knows.
"""

import asyncio
from contextlib import suppress
from enum import IntEnum
from typing import Annotated, Any, Protocol, get_args

import msgpack
import msgspec
from expression import Error, Ok, Result

from ..decoding import DECODE_ERRORS as INPUT_ERRORS
from ..decoding import Count, Name, describe
from ..events import Event, log_event
from ..ids import EntryId
from ..rejections import InputSource, Rejections

PROTOCOL_VERSION = 3
HANDSHAKE_LENGTH = 4
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT_SECONDS = 0.5
# A forwarded call makes one or two store calls.
CALL_TIMEOUT_SECONDS = 1.5
# A stream on which nothing arrives for this long is closed. Pings keep idle ones open.
READ_TIMEOUT_SECONDS = 2.0
PING_INTERVAL_SECONDS = 0.6
# A stream whose peer does not read is closed once its send buffer exceeds this size.
MAX_SEND_BUFFER_BYTES = 8 * 1024 * 1024
# Exceptions raised while decoding or handling a message that violates the protocol.
DECODE_ERRORS = (msgpack.UnpackException, *INPUT_ERRORS)


class MessageKind(IntEnum):
    """Message type, the first element of each message."""

    PING = 0
    # [kind, [[key, revision, value], ...]]: records that the sender stored.
    RECORDS = 1
    # [kind, sequence, method, argument]
    CALL = 2
    # [kind, sequence, status, payload]
    REPLY = 3
    # [kind, revision, value]: the leader key as last seen by the sender.
    LEADER = 4
    # [kind, revision, [[job, queue, recurring, state, workspace], ...], full]: job
    # states from the leader, which has seen all submissions and cancellations up to the
    # revision.
    STATES = 5
    # [kind, [[service, cores, started, [waiting, ...], late, free_cpu], ...]]: the
    # leader's forecasts for the services with a large backlog.
    FORECASTS = 6
    # [kind, version, age_ms]: the sender's version of the configuration, and how long
    # ago it last knew that this was the newest one.
    CONFIGURATION = 7
    # [kind, [load, ...]]: the leader's loads of the services whose jobs may be late, as
    # in ``scheduling/shedding/service_load.py``; only where jobs are shed by cost.
    OVERLOAD = 8


class PeerFailure(IntEnum):
    """Why a forwarded call returned no answer."""

    # Nothing was sent.
    NOT_SENT = 0
    # The call was sent; it may have been carried out.
    UNKNOWN = 1


StoredRecord = tuple[str, int, bytes]


Key = Annotated[str, msgspec.Meta(max_length=1024)]
JobStateNumber = Annotated[int, msgspec.Meta(ge=0, le=4)]
Status = Annotated[int, msgspec.Meta(ge=0, le=255)]
Cores = Annotated[float, msgspec.Meta(ge=0, le=1e6)]

# The elements of each message after its kind; further elements are ignored.
MESSAGE_TYPES: dict[int, Any] = {
    MessageKind.PING: tuple[()],
    MessageKind.RECORDS: tuple[list[tuple[Key, Count, bytes]]],
    MessageKind.CALL: tuple[Count, Name, Any],
    MessageKind.REPLY: tuple[Count, Status, Any],
    MessageKind.LEADER: tuple[Count, bytes],
    MessageKind.STATES: tuple[
        Count, list[tuple[Name, Name, bool, JobStateNumber, Name]], bool
    ],
    MessageKind.FORECASTS: tuple[list[Any]],
    MessageKind.CONFIGURATION: tuple[Count, Count],
    MessageKind.OVERLOAD: tuple[list[Any]],
}
HANDSHAKE_TYPE = tuple[Count, Name, Count, Cores]


class PeerMessageHandler(Protocol):
    """Handles the messages that arrive on peer streams."""

    def on_peer_records(self, records: list[StoredRecord]) -> None:
        """Apply records that a peer stored."""

    def on_peer_states(self, revision: int, rows: list[Any], full: bool) -> None:
        """Apply job states sent by the leader.

        ``full`` means that the rows contain every unfinished job.
        """

    def on_peer_forecasts(self, rows: list[Any]) -> None:
        """Apply the leader's backlog forecasts."""

    def on_stream_started(self, stream: "PeerStream") -> None:
        """Send what a peer needs to know at the start of a stream."""

    def on_peer_configuration(
        self, stream: "PeerStream", version: int, age_ms: int
    ) -> None:
        """Note the version of the configuration that a peer has."""

    def on_peer_overload(self, rows: list[Any]) -> None:
        """Apply the leader's loads of services."""

    def initial_states_message(self) -> list[Any] | None:
        """Return the states message for a newly connected entry.

        None if this entry is not the leader.
        """

    def on_peer_leader(self, revision: int, value: bytes) -> None:
        """Apply the leader key as last seen by a peer."""

    async def on_peer_call(self, method: str, argument: Any) -> tuple[int, Any]:
        """Carry out a call that a peer forwarded; return status and payload."""


class PeerStream:
    """One connection between two entries."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        rejections: Rejections,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.rejections = rejections
        self.unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
        self.last_sequence = 0
        self.pending_replies: dict[int, asyncio.Future[tuple[int, Any]]] = {}
        self.call_tasks: set[asyncio.Task[None]] = set()
        # When something last arrived, in seconds of the event loop's clock.
        self.heard_at = 0.0
        # Start of the connecting entry's process, in ms since the Unix epoch.
        self.peer_started_ms = 0
        # Cores that the connecting entry could use as leader.
        self.peer_effective_cores = 0.0
        # A fetch of a large document, for which the stream should stay open.
        self.transfer: asyncio.Task[None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection is still open for sending."""
        return not self.writer.is_closing()

    def send(self, message: list[Any]) -> bool:
        """Queue a message; return False if the stream is closed.

        Closes the stream if the peer has not read MAX_SEND_BUFFER_BYTES.
        """
        return self.send_packed(msgpack.packb(message))

    def send_packed(self, packed: bytes) -> bool:
        """Queue an encoded message, as send() does."""
        if self.writer.is_closing():
            return False
        if self.writer.transport.get_write_buffer_size() > MAX_SEND_BUFFER_BYTES:
            self.close()
            return False
        self.writer.write(packed)
        return True

    async def run(self, handler: PeerMessageHandler) -> None:
        """Handle messages until the stream ends or nothing arrives in time."""
        pings = asyncio.create_task(self._send_pings())
        try:
            handler.on_stream_started(self)
            while True:
                # Messages may have arrived together with the handshake.
                for message in self.unpacker:
                    self._handle(message, handler)
                async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                    data = await self.reader.read(65536)
                if not data:
                    return
                self.heard_at = asyncio.get_running_loop().time()
                self.unpacker.feed(data)
        except (OSError, TimeoutError) as error:
            log_event(Event.PEER_STREAM_FAILED, error=repr(error))
        except Exception as error:
            self.reject(error)
        finally:
            pings.cancel()
            self.close()

    async def _send_pings(self) -> None:
        while self.send([MessageKind.PING]):
            await asyncio.sleep(PING_INTERVAL_SECONDS)

    def reject(self, error: Exception) -> None:
        """Count and log input that this stream cannot use."""
        peer = self.writer.get_extra_info("peername")
        text = describe(error)
        self.rejections.add(
            InputSource.PEER, str(peer[0] if peer else ""), hash(text), text,
            Event.PEER_STREAM_FAILED,
        )  # fmt: skip

    def _handle(self, message: Any, handler: PeerMessageHandler) -> None:
        """Handle one message; raises one of DECODE_ERRORS if it is malformed."""
        kind, *fields = msgspec.convert(message, list[Any])
        # A kind of a later version is ignored.
        fields_type = MESSAGE_TYPES.get(msgspec.convert(kind, Status))
        if fields_type is None:
            return
        # Without ``builtin_types`` a text counts as bytes in base64.
        values = msgspec.convert(
            fields[: len(get_args(fields_type))], fields_type, builtin_types=(bytes,)
        )
        if kind == MessageKind.RECORDS:
            handler.on_peer_records(values[0])
        elif kind == MessageKind.CALL:
            task = asyncio.create_task(self._answer_call(handler, *values))
            self.call_tasks.add(task)
            task.add_done_callback(self.call_tasks.discard)
        elif kind == MessageKind.REPLY:
            sequence, status, payload = values
            future = self.pending_replies.pop(sequence, None)
            if future is not None and not future.done():
                future.set_result((status, payload))
        elif kind == MessageKind.STATES:
            # The checked rows are passed on as the lists that arrived.
            handler.on_peer_states(values[0], fields[1], values[2])
        elif kind == MessageKind.FORECASTS:
            handler.on_peer_forecasts(values[0])
        elif kind == MessageKind.OVERLOAD:
            handler.on_peer_overload(values[0])
        elif kind == MessageKind.LEADER:
            handler.on_peer_leader(*values)
        elif kind == MessageKind.CONFIGURATION:
            handler.on_peer_configuration(self, *values)

    async def _answer_call(
        self, handler: PeerMessageHandler, sequence: int, method: str, argument: Any
    ) -> None:
        try:
            status, payload = await handler.on_peer_call(method, argument)
            self.send([MessageKind.REPLY, sequence, status, payload])
        except Exception as error:
            # No reply is sent, so the call times out with an unknown outcome.
            self.reject(error)

    async def call(
        self,
        method: str,
        argument: Any,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[tuple[int, Any], PeerFailure]:
        """Forward a call and wait for its reply: status and payload.

        Without a reply, the stream is closed if no ping has arrived on it, either.
        """
        self.last_sequence += 1
        sequence = self.last_sequence
        future: asyncio.Future[tuple[int, Any]]
        loop = asyncio.get_running_loop()
        future, sent_at = loop.create_future(), loop.time()
        self.pending_replies[sequence] = future
        if not self.send([MessageKind.CALL, sequence, method, argument]):
            self.pending_replies.pop(sequence, None)
            return Error(PeerFailure.NOT_SENT)
        try:
            async with asyncio.timeout(timeout_seconds):
                return Ok(await future)
        except TimeoutError:
            two_pings_ago = loop.time() - 2 * PING_INTERVAL_SECONDS
            if self.heard_at < min(sent_at, two_pings_ago):
                self.close()
            return Error(PeerFailure.UNKNOWN)
        except ConnectionError:
            return Error(PeerFailure.UNKNOWN)
        finally:
            self.pending_replies.pop(sequence, None)

    def close(self) -> None:
        """Abort the connection; pending calls end with an unknown outcome."""
        with suppress(OSError):
            self.writer.transport.abort()
        for future in self.pending_replies.values():
            if not future.done():
                future.set_exception(ConnectionError("stream closed"))
        self.pending_replies.clear()


async def connect(
    address: str,
    port: int,
    entry: EntryId,
    started_ms: int,
    effective_cores: float,
    rejections: Rejections | None = None,
) -> Result[PeerStream, OSError]:
    """Open a stream to another entry and send the handshake."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(address, port)
    except OSError as error:
        return Error(error)
    stream = PeerStream(reader, writer, rejections or Rejections())
    stream.send([PROTOCOL_VERSION, entry, started_ms, effective_cores])
    return Ok(stream)


class PeerServer:
    """Accepts streams from other entries."""

    def __init__(
        self,
        ip: str,
        port: int,
        handler: PeerMessageHandler,
        rejections: Rejections | None = None,
    ) -> None:
        self.rejections = rejections or Rejections()
        self.ip = ip
        self.port = port
        self.handler = handler
        self.streams: set[PeerStream] = set()
        # Revision and value of the leader key as last seen; sent to each new stream.
        self.leader: tuple[int, bytes] | None = None

    async def run(self) -> None:
        """Accept connections until cancelled."""
        server = await asyncio.start_server(self._accept, self.ip, self.port)
        async with server:
            await server.serve_forever()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = PeerStream(reader, writer, self.rejections)
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                handshake = await self._read_handshake(stream)
            version, _, started_ms, cores = handshake
            if version != PROTOCOL_VERSION:
                raise ValueError(f"protocol {version}")
        except (OSError, TimeoutError) as error:
            log_event(Event.PEER_STREAM_FAILED, error=repr(error))
            stream.close()
            return
        except DECODE_ERRORS as error:
            stream.reject(error)
            stream.close()
            return
        stream.peer_started_ms, stream.peer_effective_cores = started_ms, cores
        self.streams.add(stream)
        if self.leader is not None:
            stream.send([MessageKind.LEADER, *self.leader])
        states = self.handler.initial_states_message()
        if states is not None:
            stream.send(states)
        try:
            await stream.run(self.handler)
        finally:
            self.streams.discard(stream)

    async def _read_handshake(self, stream: PeerStream) -> tuple[int, str, int, float]:
        while True:
            data = await stream.reader.read(4096)
            if not data:
                raise ConnectionResetError("closed before the handshake")
            stream.unpacker.feed(data)
            for message in stream.unpacker:
                elements = msgspec.convert(message, list[Any])[:HANDSHAKE_LENGTH]
                handshake: tuple[int, str, int, float]
                handshake = msgspec.convert(elements, HANDSHAKE_TYPE)
                return handshake

    def broadcast(self, message: list[Any]) -> None:
        """Send a message on every accepted stream, encoding it only once."""
        if not self.streams:
            return
        packed = msgpack.packb(message)
        for stream in list(self.streams):
            stream.send_packed(packed)
