"""The clients of a soak: they use open connections until these end, also at an edge that shuts down."""

import asyncio
from random import Random

from kestrelplank.rehearsal.gateway_processes import Machine
from kestrelplank.rehearsal.soak_client_connection import (
    ClientConnection,
    MalformedAnswerError,
    ReceivedAnswer,
    connect,
)
from kestrelplank.rehearsal.soak_entry import EdgeEntry
from kestrelplank.rehearsal.soak_records import ClientAttempt, Ending, SoakRecords, StrayBytes
from kestrelplank.rehearsal.soak_requests import DrawnRequest, RequestSource

CONNECT_TIMEOUT_S = 1.0
AFTER_DEADLINE_S = 1.0  # for which a client waits beyond its deadline
REQUESTS_PER_S_AND_CLIENT = 2.5
PIPELINE_SHARE, MAX_PIPELINED = 0.1, 4
FRESH_SHARE = 0.15  # of requests after which a client opens a new connection


class SoakClient:
    """One client, with one connection at a time."""

    def __init__(self, random: Random, entry: EdgeEntry, port: int, records: SoakRecords) -> None:
        self._random, self._entry, self._port, self._records = random, entry, port, records
        self._source = RequestSource(Random(random.getrandbits(64)), records)

    async def run(self, until: float) -> None:
        """Send requests until that time."""
        await asyncio.sleep(self._think_s())
        while self._records.now() < until:
            edge = self._entry.choose(self._random)
            try:
                connection = await connect((edge.ip, self._port), CONNECT_TIMEOUT_S)
            except (OSError, TimeoutError):
                await asyncio.sleep(self._think_s())
                continue
            try:
                await self._use(connection, edge, until)
            finally:
                connection.abort()

    def _think_s(self) -> float:
        return self._random.uniform(0.2, 1.8) / REQUESTS_PER_S_AND_CLIENT

    async def _use(self, connection: ClientConnection, edge: Machine, until: float) -> None:
        """Send requests on a connection until it ends."""
        name = edge.settings_path.stem
        while self._records.now() < until:
            if not await self._exchange(connection, name) or self._random.random() < FRESH_SHARE:
                return
            unasked = await connection.read_unasked(self._think_s())
            if unasked:
                self._records.stray_bytes.append(StrayBytes(self._records.now(), name, unasked))
            if unasked is not None:
                return

    async def _exchange(self, connection: ClientConnection, edge: str) -> bool:
        """Send one request, or several at once, and read the answers; return whether the connection may be used on."""
        count = self._random.randint(2, MAX_PIPELINED) if self._random.random() < PIPELINE_SHARE else 1
        requests = [self._source.draw(edge, may_be_slow=count == 1) for _ in range(count)]
        writing = asyncio.create_task(self._write(connection, requests))
        try:
            for request in requests:
                if not await self._read(connection, request.attempt):
                    self._end_unanswered(requests, request.attempt.ending)
                    return False
            return True
        finally:
            writing.cancel()

    async def _write(self, connection: ClientConnection, requests: list[DrawnRequest]) -> None:
        """Write the requests; stop if the connection ends."""
        try:
            for request in requests:
                for index, part in enumerate(request.parts):
                    if index:
                        await asyncio.sleep(request.pause_s)
                    await connection.write(part)
                request.attempt.sent_at = self._records.now()
        except OSError:
            return

    async def _read(self, connection: ClientConnection, attempt: ClientAttempt) -> bool:
        """Read the answer to one request; return whether the connection may be used on."""
        try:
            async with asyncio.timeout(attempt.sent_from + attempt.deadline_s + AFTER_DEADLINE_S - self._records.now()):
                answer = await connection.read_answer()
        except TimeoutError:
            self._end(attempt, Ending.GAVE_UP)
            return False
        except MalformedAnswerError as error:
            attempt.answer_body = error.data
            self._end(attempt, Ending.MALFORMED)
            return False
        except (OSError, asyncio.IncompleteReadError):
            self._end(attempt, Ending.CLOSED if attempt.sent_at is not None else Ending.NOT_SENT)
            return False
        self._record_answer(attempt, answer)
        return not answer.closes and attempt.sent_at is not None

    def _record_answer(self, attempt: ClientAttempt, answer: ReceivedAnswer) -> None:
        attempt.status, attempt.answer_body = answer.status, answer.body
        attempt.seal, attempt.answered_id = answer.fields.get("x-server-seal"), answer.fields.get("x-attempt-id")
        self._end(attempt, Ending.ANSWERED)

    def _end(self, attempt: ClientAttempt, ending: Ending) -> None:
        attempt.ending, attempt.ended_at = ending, self._records.now()

    def _end_unanswered(self, requests: list[DrawnRequest], last: Ending) -> None:
        """End the requests that followed on a connection, where the edge or, after `last`, the client has ended it."""
        by_client = last in (Ending.GAVE_UP, Ending.MALFORMED)
        for request in requests:
            if not request.attempt.ended_at:
                sent = request.attempt.sent_at is not None
                self._end(request.attempt, Ending.GAVE_UP if by_client else Ending.CLOSED if sent else Ending.NOT_SENT)
