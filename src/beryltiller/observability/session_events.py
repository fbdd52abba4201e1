"""Log events of sessions: the store's tables, databases and changes of primary."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FeedLost:
    """A table of the store cannot be followed; its last known rows stay in use."""

    table: str
    reason: str


@dataclass(frozen=True, slots=True)
class FeedRegained:
    """A table of the store is followed again after `failures` failed attempts."""

    table: str
    failures: int


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store came back from an older copy; all tables are read again."""

    former_era: int
    era: int


@dataclass(frozen=True, slots=True)
class SlowRead:
    """An answer of the store about a table arrived, but slowly, in `seconds`."""

    table: str
    size_bytes: int
    seconds: float


@dataclass(frozen=True, slots=True)
class FeederLeaseTaken:
    """This proxy took a feeder lease and relays the store's changes now."""

    lease: str
    # The proxy that held the lease before, if any.
    former: str


@dataclass(frozen=True, slots=True)
class ForwardingChanged:
    """The services whose statements are forwarded have changed.

    Their databases accept fewer connections than there are proxies, or pairs of proxy
    and organisation.
    """

    # Separated by blanks; empty if each proxy runs its statements itself.
    services: str
    proxies: int


@dataclass(frozen=True, slots=True)
class RelayMessageRefused:
    """A relayed message cannot be decoded and is dropped; logged once a minute."""

    reason: str


@dataclass(frozen=True, slots=True)
class EntryRefused:
    """A row or host is invalid and left out; each version of a row is logged once."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """This proxy now considers another database the primary of a service."""

    service: str
    # Empty without a leader.
    leader: str
    # The term in which the leader itself has shown to be primary, 0 while not known.
    leader_term: int
    # The newest term known of the group, which need not be the leader's.
    newest_term: int
    # `entry`, `answer` or both: what says that the leader is primary.
    taken_by: str
    # The database that led before, if any, and why it does not lead any more.
    former: str
    lost_by: str
    # True for the first leader of the service that this process names.
    is_first: bool = False
    # How many entries of databases this proxy has, of the service and of all services.
    entries: int = 0
    all_entries: int = 0
    # How long this proxy's process has run.
    process_age_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class InSyncChanged:
    """This proxy changed which processes of a group are in sync.

    Each is named with its incarnation.
    """

    service: str
    joined: str
    # These are marked as leaving: no receipt of theirs counts any more.
    leaving: str
    removed: str
    # How the end of each removed one was shown, in the same order.
    ends: str


@dataclass(frozen=True, slots=True)
class ContinuityLost:
    """Without news of the store, a change of a service's primary may have come unseen.

    That is so until there is news: writes and reads at the primary are refused.
    """

    service: str
    # For how long it has not been known that nothing came.
    seconds: float


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """This proxy could not claim the right to replace a service's primary."""

    service: str
    reason: str


@dataclass(frozen=True, slots=True)
class SuccessionStarted:
    """This proxy began to replace a service's primary, with fencing token `token`."""

    service: str
    token: int
    cause: str


@dataclass(frozen=True, slots=True)
class ReplicasFenced:
    """This proxy sent databases the fence command; `positions` has their status."""

    service: str
    term: int
    positions: str
    # The processes in sync that are not known to have answered, with incarnations. A
    # round decides nothing while these are of two or more databases.
    unanswered: str


@dataclass(frozen=True, slots=True)
class ReplicasUnfenced:
    """This proxy let databases receive log entries again; a succession has ended."""

    service: str
    # The status of each database, `silent` if it did not answer and `not asked` if this
    # proxy could not send the command. Those that were not fenced are left as they are.
    positions: str


@dataclass(frozen=True, slots=True)
class PrimarySteppedDown:
    """A database answered that it is not primary any more, and where its log ends."""

    service: str
    database: str
    # Primaries of terms below this one are stepped down.
    term: int
    received: str
    # The term in which it showed that it led right before, or 0.
    led_term: int


@dataclass(frozen=True, slots=True)
class PromotionDecided:
    """A promotion is about to be requested, and on which knowledge."""

    service: str
    successor: str
    token: int
    cause: str
    former_primary: str
    term: int
    # The databases that this proxy knew and asked, each with its incarnation and what
    # it answered.
    databases: str
    # Unknown databases that answered at the addresses of ended ones.
    replacements: str
    # Databases that did not answer and were not waited for, each with the reason.
    left_out: str
    # The end of the former primary's log if it has stepped down, or empty.
    former_log_end: str
    # A position that covers what was acknowledged before the last loss of a log.
    lost_log_covered_by: str
    # The newest term that this proxy knew, and the newest one that promotions announced
    # before may have begun, or 0.
    newest_term: int
    begun_term: int
    # The version of the announcement's row, to which no proxy had objected.
    announced_version: int
    claim_age_seconds: float
    confirmation_age_seconds: float
    # Each database of the group that this proxy knows: since when (to 0.1 s), by what
    # (its entry, a departed entry, or a name from another proxy), what it answered in
    # the round that confirmed the decision, and why it was left out.
    known: str
    # How many databases of the group have an entry, and how many of those asked have
    # answered and were not left out.
    entries: int
    answers: int
    # How long this proxy's process has run.
    process_age_seconds: float


@dataclass(frozen=True, slots=True)
class PromotionAsked:
    """The platform was asked to promote `successor`; a failure has a `reason`."""

    service: str
    successor: str
    is_accepted: bool
    reason: str
    # How long the platform took to answer, or until the request was given up.
    duration_seconds: float


@dataclass(frozen=True, slots=True)
class AnnouncementFailed:
    """An announced change of primary could not be written, read or decoded."""

    service: str
    reason: str


@dataclass(frozen=True, slots=True)
class PrimaryChangeOpposed:
    """This proxy objects to a promotion that may drop commits."""

    service: str
    # The end of the successor's log.
    log_end: str
    # The newest position that a commit was reported at, or empty if that is no reason.
    reported: str
    # A term that has begun, later than those that the promotion replaces, or 0.
    later_term: int
    # Databases known to a proxy that the promoter has not asked.
    lacking: str = ""


@dataclass(frozen=True, slots=True)
class ReceiptsBeforeChange:
    """This proxy noticed a change of primary; it had reported these commits before."""

    service: str
    # How it noticed the change: the leader, an announcement, or its own objection.
    noticed: str
    # The newest term known of the group.
    newest_term: int
    # How many commits this process has reported on a receipt so far.
    total: int
    # The last ones, the newest first: the position and how long ago it was reported;
    # each replica that had shown it, with its incarnation, the end that it showed and
    # the age of the connection then; how long ago announcements were known then, and
    # the revision up to which they were.
    reports: str


@dataclass(frozen=True, slots=True)
class CommandFailed:
    """A database did not carry out a command during a change of primary."""

    database: str
    command: str
    reason: str


@dataclass(frozen=True, slots=True)
class IsolationChanged:
    """This proxy's isolation changed; `whole` of `services` had a majority left."""

    # An isolated proxy redirects its callers to other proxies.
    is_isolated: bool
    # Services that had a majority of their databases reachable at the last check.
    whole: int
    services: int


@dataclass(frozen=True, slots=True)
class ReadRan:
    """A read ran at a database; logged with `--log-reads` only.

    It names what the proxy believed, and the evidence on which the answer counts.
    """

    request: str
    service: str
    database: str
    incarnation: int
    # `leader` or `replica`, as believed when the answer was recorded.
    role: str
    # The newest term known of the group, and that in which the leader reported.
    term: int
    leader_term: int
    # The log position that the database was required to have, or empty.
    since: str
    # The position that it answered with, or empty.
    position: str
    # The session's own position, or empty.
    own_position: str
    # How long ago the commits were acknowledged that the read must see.
    required_age_seconds: float
    # The kind of evidence, the database that gave it, and how long ago it was asked.
    evidence: str
    evidence_source: str
    evidence_age_seconds: float
    # The refusal's or failure's code, or empty for a success.
    code: str


@dataclass(frozen=True, slots=True)
class SetUpRefused:
    """A database refused to set up a session's state; logged once a second at most."""

    service: str
    database: str
    # The kind of statement that was refused, such as `SetValue`.
    statement: str
    code: str
    # How many values and prepared statements the connection had.
    values: int
    prepared: int
    # How many were refused since the last line, with this one.
    refusals: int
