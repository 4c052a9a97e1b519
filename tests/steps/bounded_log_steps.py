"""Steps for a log whose reader stalls."""

from __future__ import annotations

import os

from behave import given, then, when

from snipemount.bounded_writer import MAX_BUFFERED_BYTES, BoundedWriter

LINE = "x" * 99 + "\n"


@given("a log whose reader has stalled")
def step_stalled(context):
    context.reader, descriptor = os.pipe()
    context.writer = BoundedWriter(descriptor)
    context.closers = [lambda: os.close(context.reader), lambda: os.close(descriptor)]


@when("{count:d} lines are written")
def step_write(context, count):
    context.written = count
    for _ in range(count):
        context.writer.write(LINE)
        context.writer.flush()


@then("no write blocks and the buffer stays within its limit")
def step_bounded(context):
    assert context.writer._buffered_bytes <= MAX_BUFFERED_BYTES


@then("once the reader resumes, every line is either read or counted as dropped")
def step_counted(context):
    read = b""
    os.set_blocking(context.reader, False)
    while True:
        try:
            read += os.read(context.reader, 65536)
        except BlockingIOError:
            if not context.writer._buffered_bytes:
                break
        context.writer.flush()
    lines = read.count(b"\n")
    assert lines + context.writer.take_dropped() == context.written
    assert read == LINE.encode() * lines
