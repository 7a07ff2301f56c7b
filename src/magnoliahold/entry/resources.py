"""The callers' HTTP API: generations and calls of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from attrs import define
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from magnoliahold.core.events import CallArrived, CallerDisconnected, GenerationArrived
from magnoliahold.entry.answers import (
    RequestRejected,
    parse_event_id,
    reject_request,
)
from magnoliahold.entry.requests import (
    check_resume_point,
    make_fingerprint,
    read_body,
    read_completion,
    read_credential,
    read_header,
    read_prompt,
)
from magnoliahold.entry.responders import (
    BufferedResponder,
    CallResponder,
    StreamResponder,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.server import Request

    from magnoliahold.entry.responders import OpenRequests, Responder
    from magnoliahold.settings.credentials import CredentialSettings

UNFORWARDED_REQUEST_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@define(eq=False)
class CallerSite:
    """The state shared by the callers' resources."""

    credentials: CredentialSettings
    open_requests: OpenRequests
    post: Callable[[object], None]
    make_request_id: Callable[[], str]

    def find_workspace(self, request: Request) -> str:
        """Returns the workspace of the credential, or raises RequestRejected."""
        workspace = self.credentials.find_workspace(read_credential(request))
        if workspace is None:
            raise RequestRejected(401, "unauthorized", "the credential is unknown")
        return workspace

    def open_request(
        self, request: Any, responder: Responder, event: Any, request_id: str
    ) -> None:
        """Registers the responder of a new request and posts its event."""
        self.open_requests.responders[request_id] = responder
        request.notifyFinish().addErrback(lambda _: self._close_request(request_id))
        self.post(event)

    def _close_request(self, request_id: str) -> None:
        if self.open_requests.responders.pop(request_id, None) is not None:
            self.post(CallerDisconnected(request_id))


class CompletionsResource(Resource):
    """`POST /v1/completions`."""

    isLeaf = True  # noqa: N815

    def __init__(self, site: CallerSite) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._site = site

    def render_POST(self, request: Request) -> int:  # noqa: N802
        """Starts a generation, or resumes one after Last-Event-ID."""
        try:
            self._start_generation(request)
        except RequestRejected as rejection:
            reject_request(request, rejection)
        return NOT_DONE_YET

    def _start_generation(self, request: Request) -> None:
        workspace = self._site.find_workspace(request)
        body = read_completion(request)
        prompt = read_prompt(body)
        last_event = read_header(request, "last-event-id")
        resume_from = parse_event_id(last_event) if last_event else None
        check_resume_point(body, resume_from)
        request_id = self._site.make_request_id()
        event = GenerationArrived(
            request_id=request_id,
            workspace=workspace,
            work=body.model,
            prompt=prompt,
            max_tokens=body.max_tokens,
            stream=body.stream,
            fingerprint=make_fingerprint(workspace, body.model, prompt),
            resume_from=resume_from,
            prefix=body.prefix,
        )
        responder: Responder
        if body.stream:
            responder = StreamResponder(
                request, request_id, body.model, self._site.post
            )
        else:
            responder = BufferedResponder(request, request_id, body.model)
        self._site.open_request(request, responder, event, request_id)


class ServicesResource(Resource):
    """`/v1/services/{service}/{path}`, any method."""

    isLeaf = True  # noqa: N815

    def __init__(self, site: CallerSite) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._site = site

    def render(self, request: Any) -> int:
        """Sends a call to a plain service."""
        try:
            self._start_call(request)
        except RequestRejected as rejection:
            reject_request(request, rejection)
        return NOT_DONE_YET

    def _start_call(self, request: Request) -> None:
        workspace = self._site.find_workspace(request)
        body = read_body(request)
        service, path = read_service_path(request)
        method = request.method.decode("ascii", "replace")
        request_id = self._site.make_request_id()
        event = CallArrived(
            request_id=request_id,
            workspace=workspace,
            service=service,
            method=method,
            path=path,
            headers=read_forwarded_headers(request),
            body=body,
            fingerprint=make_fingerprint(workspace, service, method, path, body),
            idempotency_key=read_header(request, "idempotency-key"),
        )
        responder = CallResponder(request)
        self._site.open_request(request, responder, event, request_id)


def read_service_path(request: Request) -> tuple[str, str]:
    """Parses the service's name and the remaining path with its query."""
    if not request.postpath or not request.postpath[0]:
        raise RequestRejected(404, "unknown_service", "the path names no service")
    try:
        service = request.postpath[0].decode("utf-8")
        uri = request.uri.decode("ascii")
    except UnicodeDecodeError as error:
        raise RequestRejected(400, "malformed_request", "malformed path") from error
    marker = "/v1/services/"
    start = uri.find("/", uri.index(marker) + len(marker))
    path = uri[start:] if start >= 0 else "/"
    return service, path


def read_forwarded_headers(request: Request) -> tuple[tuple[str, str], ...]:
    """Returns the headers to forward, without credentials and connection headers."""
    headers: list[tuple[str, str]] = []
    for name, values in request.requestHeaders.getAllRawHeaders():
        text = name.decode("ascii", "replace").lower()
        if text not in UNFORWARDED_REQUEST_HEADERS:
            headers.extend((text, value.decode("utf-8", "replace")) for value in values)
    return tuple(headers)


class RootResource(Resource):
    """A resource that only has child resources."""

    def __init__(self) -> None:
        super().__init__()  # type: ignore[no-untyped-call]

    def add_child(self, path: bytes, child: Resource) -> None:
        """Adds a child resource under one path segment."""
        self.putChild(path, cast("Any", child))


def make_caller_resource(site: CallerSite) -> Resource:
    """Builds the root resource of the callers' API."""
    root = RootResource()
    api = RootResource()
    root.add_child(b"v1", api)
    api.add_child(b"completions", CompletionsResource(site))
    api.add_child(b"services", ServicesResource(site))
    return root
