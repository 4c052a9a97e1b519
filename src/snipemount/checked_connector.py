"""Connections of aiohttp's client that accept no response with an invalid head."""

from __future__ import annotations

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import BadHttpMessage

from .errors import MalformedResponseError
from .response_head import ResponseHead


class CheckedResponseHandler(ResponseHandler):
    """Checks the heads of the response to each request before it is read.

    An invalid one fails the request with `aiohttp.ClientResponseError`.
    """

    _head: ResponseHead | None = None  # None while no head is due

    def set_response_params(self, **parameters: Any) -> None:
        """Begin to read the response to a request."""
        self._head = ResponseHead()
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Read bytes, unless the head that they belong to is not valid."""
        try:
            self._check_heads(data)
        except MalformedResponseError as error:
            self._head = None
            if self.transport is not None:
                self.transport.close()
            self.set_exception(BadHttpMessage(error.detail), error)
            return
        super().data_received(data)

    def _check_heads(self, data: bytes) -> None:
        """Check the head that is due, and those of the interim responses before it."""
        while data and self._head is not None:
            head_bytes = self._head.feed(data)
            data = data[head_bytes:]
            if self._head.is_complete:
                self._head = ResponseHead() if self._head.is_interim else None


class CheckedConnector(aiohttp.TCPConnector):
    """Connector whose connections check the head of each response.

    Parameters
    ----------
    **options : Any
        Options of `aiohttp.TCPConnector`.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        handler: type[ResponseHandler] = CheckedResponseHandler
        self._factory = functools.partial(handler, loop=asyncio.get_running_loop())


__all__ = ["CheckedConnector"]
