"""Identity of callers by bearer token."""

import hashlib
import hmac
from dataclasses import dataclass

from dragonflynotch.core.workspaces import ConfigurationView, WorkspaceSpec

__all__ = ('NotIdentified', 'identify')

_SCHEME = 'bearer '
_NO_DIGEST = '0' * 64


@dataclass(frozen=True, slots=True)
class NotIdentified:
    """The caller is not accepted.

    Parameters
    ----------
    reason : str
        ``'token_missing'`` or ``'token_refused'``.
    detail : str
        One sentence that does not tell whether the workspace exists.
    """

    reason: str
    detail: str


def identify(
    view: ConfigurationView, workspace: str, authorization: str
) -> WorkspaceSpec | NotIdentified:
    """Return the workspace if the token belongs to it.

    Parameters
    ----------
    view : ConfigurationView
        The configuration in force.
    workspace : str
        Workspace in the path of the request.
    authorization : str
        Value of the ``Authorization`` header, or ``''``.
    """
    if not authorization.lower().startswith(_SCHEME):
        return NotIdentified(
            'token_missing', 'header Authorization: expected Bearer TOKEN'
        )
    token = authorization[len(_SCHEME) :].strip()
    digest = hashlib.sha256(token.encode()).hexdigest()
    spec = view.workspaces.get(workspace)
    # Every digest is compared in constant time, also for a workspace that
    # does not exist, so that the time tells nothing.
    accepted = spec.token_digests if spec else (_NO_DIGEST,)
    matches = [
        hmac.compare_digest(digest.encode(), known.lower().encode())
        for known in accepted
    ]
    if spec is None or not any(matches):
        return NotIdentified(
            'token_refused', 'the token is not accepted for this workspace'
        )
    return spec
