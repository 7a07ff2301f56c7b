"""The headers that callers of the users' platform send."""

from __future__ import annotations

from attrs import frozen
from twisted.web.http_headers import Headers

PROMPT_TOKENS = 8000


@frozen
class CallerHeaders:
    """What a caller says of a request; `resume_after` is the last piece that it has."""

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
    """Reads the signature of an answer."""
    values = headers.getRawHeaders("Response-Signature")
    return values[0] if values else None


def read_retry_after(headers: Headers) -> float | None:
    """Reads when a caller is to come back, in seconds."""
    values = headers.getRawHeaders("Retry-After")
    return float(values[0]) if values else None
