"""The HTTP API of the stand-in platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from attrs import frozen
from twisted.web.server import NOT_DONE_YET

from magnoliahold.standins.platform_faults import KINDS, PlatformFault
from magnoliahold.standins.replies import is_open, parse_body, reply, reply_error
from magnoliahold.standins.server import FaultyResource, TreeResource
from magnoliahold.storage.interfaces import (
    Condition,  # noqa: TC001
    Instance,
    Write,  # noqa: TC001
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.web.server import Request

    from magnoliahold.standins.platform import Platform

FAULT_DELAY_S = 0.01
MAX_SCAN_ROWS = 1000


@frozen
class TransactionBody:
    """The body of `POST /transactions`; values are base64-encoded."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class _PlatformResource(TreeResource):
    isLeaf = True  # noqa: N815

    def __init__(self, platform: Platform) -> None:
        super().__init__()
        self._platform = platform

    def render(self, request: Request) -> Any:
        postpath: list[bytes] = cast("Any", request).postpath
        path = [part.decode("utf-8", "replace") for part in postpath]
        self.answer(request, path)
        return NOT_DONE_YET

    def answer(self, request: Request, path: list[str]) -> None:
        raise NotImplementedError


class _Tables(_PlatformResource):
    def answer(self, request: Request, path: list[str]) -> None:
        tables = self._platform.tables
        if len(path) == 2:
            _reply_later(request, tables.read_row(path[0], path[1]), _reply_row)
        elif len(path) == 1:
            after = _read_argument(request, "after", "")
            limit = _read_argument(request, "limit", str(MAX_SCAN_ROWS))
            if not limit.isdigit():
                reply_error(request, 400, "limit must be a number")
                return
            rows = min(int(limit), MAX_SCAN_ROWS)
            _reply_later(request, tables.scan_rows(path[0], after, rows), reply)
        else:
            reply_error(request, 404, "use /tables/{table} or /tables/{table}/{key}")


class _Transactions(_PlatformResource):
    def answer(self, request: Request, path: list[str]) -> None:
        body = parse_body(request, TransactionBody)
        if body is not None:
            outcome = self._platform.tables.transact(body.conditions, body.writes)
            _reply_later(request, outcome, reply)


class _Objects(_PlatformResource):
    def answer(self, request: Request, path: list[str]) -> None:
        name = "/".join(path)
        if request.method == b"PUT":
            content = cast("Any", request.content).read()
            stored = self._platform.objects.put_object(name, content)
            _reply_later(request, stored, reply)
            return
        _reply_later(request, self._platform.objects.get_object(name), _reply_content)


class _Weights(_PlatformResource):
    def answer(self, request: Request, path: list[str]) -> None:
        weights = self._platform.weights
        name = "/".join(path)
        if request.method == b"PUT":
            _reply_later(request, weights.start_load(name), _reply_granted)
        elif request.method == b"DELETE":
            _reply_later(request, weights.end_load(name), reply)
        else:
            _reply_later(request, weights.count_free_loads(), _reply_free)


class _Instances(_PlatformResource):
    def answer(self, request: Request, path: list[str]) -> None:
        instances = self._platform.instances
        if request.method == b"PUT":
            instance = parse_body(request, Instance)
            if instance is not None:
                instances.put_instance(instance)
                reply(request, {})
        elif request.method == b"DELETE":
            instances.delete_instance("/".join(path))
            reply(request, {})
        else:
            _reply_later(request, instances.list_instances(), reply)


class _Faults(_PlatformResource):
    def answer(self, request: Request, path: list[str]) -> None:
        fault = parse_body(request, PlatformFault)
        if fault is None:
            return
        if fault.kind not in KINDS:
            reply_error(request, 400, f"unknown fault {fault.kind!r}")
            return
        reply(request, {"injected": fault.kind})
        if fault.kind == "silence_connections":
            self._platform.silence_later(FAULT_DELAY_S)
        else:
            self._platform.faults.inject(fault)


def _read_argument(request: Request, name: str, default: str) -> str:
    values = cast("Any", request.args).get(name.encode("ascii"))
    return values[0].decode("utf-8", "replace") if values else default


def _reply_later(
    request: Request,
    result: Deferred[Any],
    reply_with: Callable[[Request, Any], None],
) -> None:
    result.addCallbacks(
        lambda value: reply_with(request, value),
        lambda _failure: cast("Any", request.transport).abortConnection(),
    )


def _reply_row(request: Request, row: Any) -> None:
    reply(request, row, 200 if row is not None else 404)


def _reply_content(request: Request, content: bytes | None) -> None:
    if content is None:
        reply_error(request, 404, "no such object")
        return
    if is_open(request):
        request.setHeader(b"content-type", b"application/octet-stream")
        request.write(content)
        request.finish()


def _reply_free(request: Request, free: int) -> None:
    reply(request, {"free": free})


def _reply_granted(request: Request, granted: bool) -> None:
    reply(request, {"granted": granted}, 200 if granted else 503)


def make_platform_resource(platform: Platform) -> FaultyResource:
    """Creates the root resource of a platform."""
    root = FaultyResource()
    root.add_child("tables", _Tables(platform))
    root.add_child("transactions", _Transactions(platform))
    root.add_child("objects", _Objects(platform))
    root.add_child("weights", _Weights(platform))
    root.add_child("instances", _Instances(platform))
    root.add_child("faults", _Faults(platform))
    return root
