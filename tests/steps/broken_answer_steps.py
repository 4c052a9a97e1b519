"""Steps on leafs whose answers are broken, and a daemon in its own process."""

from __future__ import annotations

import asyncio
from collections import Counter

import attrs
from behave import given, then, when
from endless_steps import EndlessBed

from snipemount.soak.deployment import FRONT_PORT, HOST

LOOPBACK = "127.0.0.1"
LEAF_BODY = b"\xff" * 16  # the greatest record: a query that takes it shows it
CHUNKED_LEAF_BODY = b"10\r\n" + LEAF_BODY + b"\r\n0\r\n\r\n"
SOUND_STATUS = "HTTP/1.1 200 OK"
ANSWER_TIMEOUT_S = 5.0
# The library reads answers with Python code where it was not compiled.
PYTHON_PARSER = {"AIOHTTP_NO_EXTENSIONS": "1"}
BROKEN_ANSWERS = 6
BODY_DELAY_S = 0.05


def unescape(cell: str) -> str:
    """Return the text of a table's cell, whose escapes stand for single bytes."""
    return cell.encode("latin-1").decode("unicode_escape")


@attrs.frozen
class AnswerForm:
    """What a leaf sends in place of a sound answer.

    Parameters
    ----------
    status_line : str
        First line of the head.
    line : str
        Further line of the head; none if it is empty.
    body : bytes
        Bytes after the head.
    """

    status_line: str
    line: str = ""
    body: bytes = LEAF_BODY

    def encode(self, fields: list[str]) -> bytes:
        """Return the bytes of an answer with further, sound fields."""
        lines = [self.status_line, *fields]
        if self.line:
            lines.append(self.line)
        if "transfer-encoding" not in self.line.lower():
            lines.append(f"Content-Length: {len(self.body)}")
        body = CHUNKED_LEAF_BODY if self._is_chunked else self.body
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

    @property
    def _is_chunked(self) -> bool:
        return "chunked" in self.line.lower() and self.body == LEAF_BODY


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the target of a request, and its fields by their names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    request_line, *lines = head.rstrip().split("\r\n")
    pairs = (line.split(": ", 1) for line in lines)
    fields = {name.lower(): value for name, value in pairs}
    await reader.readexactly(int(fields.get("content-length", "0")))
    return request_line.split(" ")[1], fields


@attrs.frozen
class CallerAnswer:
    """What a caller received until its connection ended."""

    status_line: str
    fields: tuple[str, ...]
    body: bytes

    @property
    def status(self) -> str:
        """Second word of the status line."""
        return (self.status_line.split(" ") + [""])[1]


class BrokenBed(EndlessBed):
    """A daemon process, and leafs that answer with the form that a path names."""

    def __init__(self, more_variables: dict[str, str]) -> None:
        super().__init__("")
        self.daemon.more_variables.update(more_variables)
        self.forms: list[AnswerForm] = []
        self.runs: Counter[str] = Counter()
        self.states_request = True
        self.body_delay_s = 0.0
        self._servers: list[asyncio.Server] = []

    async def _start_faulty(self, ports: list[int]) -> None:
        for port in ports:
            self._servers.append(
                await asyncio.start_server(self._serve, LOOPBACK, port)
            )

    async def _serve(self, reader, writer) -> None:
        try:
            target, fields = await read_request(reader)
            form = self.forms[int(target.rsplit("/", 1)[1])]
            request_id = fields["x-request-id"]
            self.runs[request_id] += 1
            stated = [f"X-Request-Id: {request_id}", f"X-Server-Stamp: s-{request_id}"]
            answer = form.encode(stated if self.states_request else [])
            head, end, body = answer.partition(b"\r\n\r\n")
            writer.write(head + end)
            if self.body_delay_s:
                await asyncio.sleep(self.body_delay_s)
            writer.write(body)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def ask(self, method: str, route: str, form: AnswerForm) -> CallerAnswer:
        """Send a request that leafs answer with a form; return what came back."""
        self.forms.append(form)
        number = len(self.forms) - 1
        reader, writer = await asyncio.open_connection(self.daemon.ip, FRONT_PORT)
        request = (
            f"{method} /{route}/{number} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: r{number}\r\nConnection: close\r\n\r\n"
        )
        writer.write(request.encode())
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                received = await reader.read(-1)
        finally:
            writer.close()
        head, _, body = received.partition(b"\r\n\r\n")
        status_line, *fields = head.decode("latin-1").split("\r\n")
        return CallerAnswer(status_line, tuple(fields), body)

    async def stop(self) -> None:
        """End the daemon and close the stand-ins."""
        for server in self._servers:
            server.close()
        await super().stop()


def forms_of(table, sound: AnswerForm) -> list[AnswerForm]:
    """Return a sound answer with the status line or the further line of each row."""
    (column,) = table.headings
    field = {"status line": "status_line", "further line": "line"}[column]
    return [attrs.evolve(sound, **{field: unescape(row[column])}) for row in table]


async def play(bed: BrokenBed, forms: list[AnswerForm]) -> list[list[CallerAnswer]]:
    """Return the answers to a POST, a GET and a query for each form."""
    try:
        await bed.start()
        return [
            [
                await bed.ask("POST", "log", form),
                await bed.ask("GET", "find", form),
                await bed.ask("GET", "sweep", form),
            ]
            for form in forms
        ]
    finally:
        await bed.stop()


def has_part(answer: CallerAnswer) -> bool:
    """Return whether a query's answer holds the faulty leaf's part."""
    return "X-Missing-Parts: 0" in answer.fields or LEAF_BODY in answer.body


@given("a daemon, and a service whose leafs are in trouble")
def step_daemon(context):
    context.variables = {}


@given("a daemon with a Python parser, and a service whose leafs are in trouble")
def step_python_daemon(context):
    context.variables = PYTHON_PARSER


@when("its leafs answer with each of")
def step_answer(context):
    context.forms = forms_of(context.table, AnswerForm(SOUND_STATUS))
    context.bed = BrokenBed(context.variables)
    context.answers = asyncio.run(play(context.bed, context.forms))


@when("its leafs answer without an id and a receipt with each of")
def step_answer_bare(context):
    context.forms = forms_of(context.table, AnswerForm(SOUND_STATUS))
    context.bed = BrokenBed(context.variables)
    context.bed.states_request = False
    context.answers = asyncio.run(play(context.bed, context.forms))


@then("the caller of each gets 502, and no query takes the answer as a part")
def step_refused(context):
    wrong = []
    for form, answers in zip(context.forms, context.answers, strict=True):
        *single, query = answers
        refused = all(a.status == "502" and LEAF_BODY not in a.body for a in single)
        if not refused or query.status != "200" or has_part(query):
            wrong.append((form, answers))
    assert not wrong, "\n".join(map(repr, wrong))


@then("no POST was sent to a second leaf")
def step_sent_once(context):
    posts = [f"r{number}" for number in range(0, 3 * len(context.forms), 3)]
    assert all(context.bed.runs[post] == 1 for post in posts), context.bed.runs


async def play_statement(line: str) -> CallerAnswer:
    """Let all leafs state something in broken answers; return a sound answer."""
    bed = BrokenBed({})
    bed.body_delay_s = BODY_DELAY_S  # so that the head is read by itself
    stating = f"Transfer-Encoding: chunked\r\n{line}"
    broken = AnswerForm(SOUND_STATUS, stating, b"no chunk size\r\n")
    try:
        await bed.start()
        for _ in range(BROKEN_ANSWERS):
            await bed.ask("GET", "find", broken)
        return await bed.ask("GET", "find", AnswerForm(SOUND_STATUS))
    finally:
        await bed.stop()


@then("no caller gets the field {name}")
def step_no_field(context, name):
    for answers in context.answers:
        for answer in answers:
            found = [f for f in answer.fields if f.lower().startswith(name.lower())]
            assert not found, answer


@when("its leafs state {line} in answers whose body is broken, then answer soundly")
def step_state(context, line):
    context.sound = asyncio.run(play_statement(line))


@then("the caller gets the sound answer")
def step_sound(context):
    assert context.sound.status == "200", context.sound
    assert context.sound.body == LEAF_BODY, context.sound


@then("the caller of each gets the leaf's status and body")
def step_passed_on(context):
    for form, (*single, _) in zip(context.forms, context.answers, strict=True):
        for answer in single:
            assert answer.status == form.status_line.split(" ")[1], (form, answer)
            assert answer.body == LEAF_BODY, (form, answer)
