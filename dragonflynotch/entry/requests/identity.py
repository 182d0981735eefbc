"""Authentication of callers by bearer token."""

import hashlib
import hmac
from dataclasses import dataclass

from dragonflynotch.core.workspaces import ConfigurationView, WorkspaceSpec

__all__ = ('NotIdentified', 'identify')

_SCHEME = 'bearer '
_DUMMY_DIGEST = '0' * 64


@dataclass(frozen=True, slots=True)
class NotIdentified:
    """The caller could not be authenticated.

    Parameters
    ----------
    reason : str
        ``'token_missing'`` or ``'token_refused'``.
    detail : str
        One sentence; it does not reveal whether the workspace exists.
    """

    reason: str
    detail: str


def identify(
    view: ConfigurationView, workspace: str, authorization: str
) -> WorkspaceSpec | NotIdentified:
    """Return the workspace that the token gives access to, or the refusal.

    Parameters
    ----------
    view : ConfigurationView
        The configuration in force.
    workspace : str
        Workspace in the path of the request.
    authorization : str
        Value of the ``Authorization`` header; ``''`` if it is missing.
    """
    if not authorization.lower().startswith(_SCHEME):
        return NotIdentified(
            'token_missing', 'header Authorization: expected "Bearer TOKEN"'
        )
    token = authorization[len(_SCHEME) :].strip()
    digest = hashlib.sha256(token.encode()).hexdigest()
    spec = view.workspaces.get(workspace)
    # All digests are compared, each in constant time, and a dummy digest stands
    # in for an unknown workspace, so that the response time reveals nothing.
    known_digests = spec.token_digests if spec else (_DUMMY_DIGEST,)
    matches = [
        hmac.compare_digest(digest.encode(), known_digest.lower().encode())
        for known_digest in known_digests
    ]
    if spec is None or not any(matches):
        return NotIdentified(
            'token_refused', 'the token is not accepted for this workspace'
        )
    return spec
