"""Credentials of callers and operators, redacted in logs and representations."""

from __future__ import annotations

import hashlib
import hmac
from secrets import token_bytes
from typing import TYPE_CHECKING, Any, ClassVar

from attrs import field, frozen

from magnoliahold.errors import SettingsError
from magnoliahold.logs import register_secret
from magnoliahold.settings.checks import (
    FieldError,
    Relation,
    checks,
    raise_faults,
    require_names,
)
from magnoliahold.settings.documents import read_text

if TYPE_CHECKING:
    from pathlib import Path

FILE_PREFIX = "file:"
INDEX_KEY_BYTES = 32
MIN_CREDENTIAL_CHARACTERS = 8
MAX_CREDENTIAL_CHARACTERS = 4096


@frozen
class Secret:
    """One credential; its representations never include the value."""

    value: str = field(repr=False)

    def matches(self, candidate: str) -> bool:
        """Compares a presented credential with this one in constant time."""
        return hmac.compare_digest(
            self.value.encode(), candidate.encode("utf-8", "surrogatepass")
        )

    def __str__(self) -> str:
        return "[redacted]"


def require_different_secrets(
    callers: dict[str, Secret], operators: tuple[Secret, ...]
) -> None:
    """Checks that no credential belongs to two callers or operators."""
    faults = []
    seen: set[str] = set()
    secrets_by_path = [(f".callers.{name}", secret) for name, secret in callers.items()]
    secrets_by_path += [
        (f".operators[{index}]", item) for index, item in enumerate(operators)
    ]
    for path, secret in secrets_by_path:
        if secret.value in seen:
            faults.append(
                FieldError(
                    "the credential is already used in this file",
                    "give each workspace and operator a credential of its own",
                    path,
                )
            )
        seen.add(secret.value)
    raise_faults(faults)


@frozen
class CredentialSettings:
    """Accepted credentials: those of callers by workspace, and those of operators."""

    callers: dict[str, Secret] = field(metadata=checks(require_names))
    operators: tuple[Secret, ...]

    relations: ClassVar[tuple[Relation, ...]] = (
        Relation(("callers", "operators"), require_different_secrets),
    )

    _index: dict[bytes, str] = field(init=False, repr=False, eq=False)
    _index_key: bytes = field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        key = token_bytes(INDEX_KEY_BYTES)
        callers = self.callers.items()
        index = {digest_credential(key, item.value): name for name, item in callers}
        object.__setattr__(self, "_index_key", key)
        object.__setattr__(self, "_index", index)

    def find_workspace(self, candidate: str) -> str | None:
        """Finds the workspace of a caller's credential.

        The lookup uses a keyed digest, so that its duration reveals nothing about the
        credentials and does not grow with their number.
        """
        workspace = self._index.get(digest_credential(self._index_key, candidate))
        if workspace is None or not self.callers[workspace].matches(candidate):
            return None
        return workspace

    def is_operator(self, candidate: str) -> bool:
        """Returns whether a credential is an operator's; compares it with every one."""
        return sum(secret.matches(candidate) for secret in self.operators) > 0


def digest_credential(key: bytes, credential: str) -> bytes:
    """Returns the keyed digest of a credential."""
    content = credential.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(content, key=key).digest()


def make_secret_hook(base_directory: Path) -> Any:
    """Returns the hook that structures a `Secret` from a value or `file:PATH`.

    Relative paths are resolved against `base_directory`.
    """

    def structure_secret(value: Any, _: Any) -> Secret:
        if not isinstance(value, str):
            raise FieldError(
                "the credential is not a string", "put it in quotes or use file:PATH"
            )
        if value.startswith(FILE_PREFIX):
            value = read_credential(base_directory / value.removeprefix(FILE_PREFIX))
        return make_secret(value)

    return structure_secret


def make_secret(value: str) -> Secret:
    """Validates a credential and registers its value for redaction in the logs."""
    if not MIN_CREDENTIAL_CHARACTERS <= len(value) <= MAX_CREDENTIAL_CHARACTERS:
        raise FieldError(
            "the credential is too short or too long",
            f"use {MIN_CREDENTIAL_CHARACTERS} to {MAX_CREDENTIAL_CHARACTERS} "
            "characters",
        )
    if not value.isascii() or not value.isprintable() or " " in value:
        raise FieldError(
            "the credential has characters that are not allowed in HTTP headers",
            "use printable ASCII characters without spaces",
        )
    register_secret(value)
    return Secret(value)


def read_credential(path: Path) -> str:
    """Reads a credential from a file, without surrounding whitespace."""
    try:
        return read_text(path).strip()
    except SettingsError as error:
        raise FieldError(
            f"the credential file {error.path} is not usable: {error.problem}",
            error.remedy,
        ) from None
