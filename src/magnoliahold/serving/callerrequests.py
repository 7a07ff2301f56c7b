"""Reads what decisions need out of callers' requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.serving.configuration import MAX_NUMBER
from magnoliahold.core.serving.names import bound_name
from magnoliahold.decoding import describe_error
from magnoliahold.logs import make_part_logger
from magnoliahold.platform.callers import BadRequest, read_caller_request

if TYPE_CHECKING:
    from twisted.web.http_headers import Headers

    from magnoliahold.core.serving.requests import CallerRequest, PromptPart

MAX_PROMPT_PARTS = 256

logger = make_part_logger("callers")


def read_request(
    handle: int, method: bytes, target: bytes, headers: Headers, body: bytes = b""
) -> CallerRequest:
    """Reads a request, of which the body may be missing yet.

    Raises BadRequest, whose message says what to send instead.
    """
    try:
        check_host(headers)
        caller = read_caller_request(
            handle,
            method.decode("ascii", "replace"),
            target.decode("ascii", "replace"),
            headers,
            body,
        )
        check_numbers(caller)
    except (ValueError, ArithmeticError) as error:
        reason = describe_error(error)
        logger.gather("Request can't be read and is refused.", reason=reason)
        raise BadRequest("send headers that can be read") from None
    return evolve(caller, prompt=bound_prompt(caller.prompt))


def bound_prompt(prompt: tuple[PromptPart, ...]) -> tuple[PromptPart, ...]:
    """Shortens the ids of a prompt's parts; too many parts count as none."""
    if len(prompt) > MAX_PROMPT_PARTS:
        sentence = "Prompt has too many parts and counts as absent."
        logger.gather(sentence, parts=len(prompt))
        return ()
    return tuple(evolve(part, id=bound_name(part.id)) for part in prompt)


def check_numbers(caller: CallerRequest) -> None:
    """Raises BadRequest if a number is too large to reckon with."""
    numbers = [part.tokens for part in caller.prompt]
    if max(*numbers, caller.resume_after or 0, 0) > MAX_NUMBER:
        raise BadRequest(f"send no number above {MAX_NUMBER}")


def check_host(headers: Headers) -> None:
    """Raises BadRequest if there are several hosts, of which none can be passed on."""
    if len(headers.getRawHeaders("Host", [])) > 1:
        raise BadRequest("send one Host")
