"""Public client library for callers and operators of an entry."""

from dragonflynotch.client.caller import (
    CallerClient,
    HttpCallerClient,
    RequestCall,
    SubmitCall,
)
from dragonflynotch.client.operator import HttpOperatorClient, OperatorClient
from dragonflynotch.client.outcomes import (
    Conflict,
    Failure,
    Invalid,
    Refused,
    UnknownOutcome,
    Unreachable,
)
from dragonflynotch.client.transport import HttpTransport, RetryPolicy
from dragonflynotch.client.views import (
    EntryStatus,
    GuardDraining,
    JobList,
    JobView,
    RecordView,
    RecordWritten,
    RequestAnswer,
    Snapshot,
    WaitingView,
)

__all__ = (
    'CallerClient',
    'HttpCallerClient',
    'HttpOperatorClient',
    'HttpTransport',
    'OperatorClient',
    'RequestCall',
    'RetryPolicy',
    'SubmitCall',
    'Conflict',
    'Failure',
    'Invalid',
    'Refused',
    'UnknownOutcome',
    'Unreachable',
    'EntryStatus',
    'GuardDraining',
    'JobList',
    'JobView',
    'RecordView',
    'RecordWritten',
    'RequestAnswer',
    'Snapshot',
    'WaitingView',
)
