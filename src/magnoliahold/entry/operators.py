"""The operators' HTTP API of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from attrs import define, field, frozen
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from magnoliahold.core.administration import (
    DrainRequested,
    ErrorDetail,
    ErrorDocument,
    MovesRequested,
    StatusRequested,
    TemplateApplied,
    UpstreamsRequested,
)
from magnoliahold.decoding import translate_errors
from magnoliahold.entry.answers import (
    JSON_TYPE,
    RequestRejected,
    make_malformed_rejection,
)
from magnoliahold.entry.requests import read_body, read_credential
from magnoliahold.errors import SettingsError
from magnoliahold.templates import encode_template, parse_template

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.server import Request

    from magnoliahold.core.administration import AnswerOperator
    from magnoliahold.settings.credentials import CredentialSettings

UNAUTHORIZED_REMEDY = "send an operator's credential as 'Authorization: Bearer ...'"
MALFORMED_REMEDY = "correct the request before sending it again"


@frozen
class ApplyBody:
    """The body of an apply request; `template` is YAML text."""

    template: str
    apply_id: str
    parameters: dict[str, Any] = field(factory=dict)
    expected_version: int | None = None


@define(eq=False)
class OperatorRequests:
    """The operator port of an entry, which keeps open requests by id."""

    requests: dict[str, Any] = field(factory=dict)

    def answer_operator(self, effect: AnswerOperator) -> None:
        """Sends an operator the final answer."""
        request = self.requests.pop(effect.request_id, None)
        if request is not None:
            write_document(request, effect.status, effect.document)


@define(eq=False)
class OperatorSite:
    """The state shared by the operators' resources."""

    credentials: CredentialSettings
    open_requests: OperatorRequests
    post: Callable[[object], None]
    make_request_id: Callable[[], str]

    def require_operator(self, request: Request) -> None:
        """Raises RequestRejected unless the request has an operator's credential."""
        if not self.credentials.is_operator(read_credential(request)):
            raise RequestRejected(401, "unauthorized", "the credential is unknown")

    def open_request(self, request: Any, event: Any) -> None:
        """Registers a request and posts its event."""
        request_id = event.request_id
        self.open_requests.requests[request_id] = request
        request.notifyFinish().addErrback(
            lambda _: self.open_requests.requests.pop(request_id, None)
        )
        self.post(event)


def write_document(request: Any, status: int, document: object) -> None:
    """Answers a request with a JSON document."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", JSON_TYPE)
    request.write(msgspec.json.encode(document))
    request.finish()


def write_rejection(request: Any, rejection: RequestRejected) -> None:
    """Answers a request that was rejected before an event was posted."""
    unauthorized = rejection.code == "unauthorized"
    remedy = UNAUTHORIZED_REMEDY if unauthorized else MALFORMED_REMEDY
    detail = ErrorDetail(rejection.code, str(rejection), remedy)
    write_document(request, rejection.status, ErrorDocument(detail))


class OperatorResource(Resource):
    """One operation; `make_event` parses the request and builds its event."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        site: OperatorSite,
        method: str,
        make_event: Callable[[Request, str], object],
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._site = site
        self._method = method.encode()
        self._make_event = make_event

    def render(self, request: Any) -> int:
        """Posts the operation's event, or rejects the request."""
        try:
            self._site.require_operator(request)
            if request.method != self._method:
                message = f"use {self._method.decode()}"
                raise RequestRejected(405, "malformed_request", message)
            event = self._make_event(request, self._site.make_request_id())
        except RequestRejected as rejection:
            write_rejection(request, rejection)
        else:
            self._site.open_request(request, event)
        return NOT_DONE_YET


def make_apply_event(request: Request, request_id: str) -> TemplateApplied:
    """Parses `POST /v1/workspaces/{workspace}/template` and checks its template."""
    path = [part.decode("utf-8", "replace") for part in request.postpath or []]
    if len(path) != 2 or path[1] != "template":
        raise RequestRejected(404, "unknown_path", "no such operation")
    body = _read_apply(request)
    try:
        template = parse_template(body.template, body.parameters)
    except ExceptionGroup as faults:
        raise RequestRejected(422, "invalid_template", list_faults(faults)) from None
    if template.workspace != path[0]:
        message = f"the template is for workspace {template.workspace!r}"
        raise RequestRejected(422, "invalid_template", message)
    return TemplateApplied(
        request_id,
        template.workspace,
        encode_template(template),
        body.apply_id,
        body.expected_version,
    )


def _read_apply(request: Request) -> ApplyBody:
    content = read_body(request)
    with translate_errors(make_malformed_rejection):
        return msgspec.json.decode(content, type=ApplyBody)


def list_faults(faults: ExceptionGroup[Exception]) -> str:
    """Joins the messages of all faults in a group, including nested groups."""
    lines = []
    for error in faults.exceptions:
        if isinstance(error, ExceptionGroup):
            lines.append(list_faults(error))
        elif isinstance(error, SettingsError):
            lines.append(str(error))
    return "; ".join(lines)


def make_drain_event(request: Request, request_id: str) -> DrainRequested:
    """Parses `POST /v1/drain/{name}`."""
    path = [part.decode("utf-8", "replace") for part in request.postpath or []]
    if len(path) != 1 or not path[0]:
        raise RequestRejected(404, "unknown_path", "name one process or upstream")
    return DrainRequested(request_id, path[0])


def make_status_event(request: Request, request_id: str) -> StatusRequested:
    """Parses `GET /v1/status?workspace=NAME`; the workspace is optional."""
    values = (request.args or {}).get(b"workspace", [b""])
    return StatusRequested(request_id, values[0].decode("utf-8", "replace"))


def add_operator_resources(root: Resource, site: OperatorSite) -> None:
    """Adds the operators' API to a root resource."""
    operations: dict[bytes, tuple[str, Callable[[Request, str], object]]] = {
        b"workspaces": ("POST", make_apply_event),
        b"drain": ("POST", make_drain_event),
        b"status": ("GET", make_status_event),
        b"moves": ("GET", lambda _, name: MovesRequested(name)),
        b"upstreams": ("GET", lambda _, name: UpstreamsRequested(name)),
    }
    api = Resource()
    for name, (method, make_event) in operations.items():
        resource: Any = OperatorResource(site, method, make_event)
        api.putChild(name, resource)
    child: Any = api
    root.putChild(b"v1", child)
