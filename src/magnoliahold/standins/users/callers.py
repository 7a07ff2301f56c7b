"""Request and answer headers of callers on the users' platform."""

from __future__ import annotations

from attrs import frozen
from twisted.web.http_headers import Headers

PROMPT_TOKENS = 8000


@frozen
class CallerHeaders:
    """The headers of a request.

    `resume_after` is the number of the last piece that the caller has received.
    """

    request_id: str
    credential: str
    timeout_s: float
    prompt: str | None = None
    resume_after: int | None = None

    def build(self) -> Headers:
        """Builds the headers."""
        headers = {
            "Request-Id": self.request_id,
            "Authorization": f"Token {self.credential}",
            "Deadline-Ms": str(round(self.timeout_s * 1000)),
        }
        if self.prompt is not None:
            headers["Prompt-Prefix"] = f"shared:200,{self.prompt}:{PROMPT_TOKENS}"
            headers["Model"] = "m"
        if self.resume_after is not None:
            headers["Last-Event-Id"] = str(self.resume_after)
        return Headers({name: [value] for name, value in headers.items()})


def read_signature(headers: Headers) -> str | None:
    """Returns the signature of an answer, if it has one."""
    values = headers.getRawHeaders("Response-Signature")
    return values[0] if values else None


def read_retry_after(headers: Headers) -> float | None:
    """Returns the seconds to wait before a retry, if the answer states them."""
    values = headers.getRawHeaders("Retry-After")
    return float(values[0]) if values else None
