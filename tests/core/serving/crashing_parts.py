"""Serving entries, engines and callers on a day when parts of prompts crash engines.

Real worlds of entries run on one simulated clock, with a faked store, encoded notices
that may be lost, engines that stream and callers that return after a refusal. An engine
that begins to write an answer to a prompt with a deadly part crashes. The results are
those that callers, engines and the store observe.
"""

from __future__ import annotations

import heapq
import itertools
from random import Random
from typing import TYPE_CHECKING, Any

import attrs
import msgspec
from attrs import define, evolve, field

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    CloseAttempt,
    CopyKvCache,
    DeliverAnswer,
    DeliverPieces,
    FinishAnswer,
    FreeCopy,
    ListPrompts,
    LongPollFeed,
    ProbeServingUpstream,
    ReadFeed,
    RefuseCaller,
    RegisterEntry,
    SendAttempt,
    SendNotice,
    WriteQuarantine,
)
from magnoliahold.core.serving.events import (
    AnswerHead,
    AnswerReceived,
    AttemptInterrupted,
    AttemptNotSent,
    AttemptSent,
    CopyFailed,
    EntryRegistered,
    FeedChanged,
    FeedFailed,
    FeedRead,
    KvCacheCopied,
    NoticeReceived,
    PiecesReceived,
    PromptListFailed,
    PromptsListed,
    RequestArrived,
    StreamEnded,
    StreamOpened,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.peers import LoadNotice, PeerRecord
from magnoliahold.core.serving.requests import (
    CallerRequest,
    CopyReference,
    PromptPart,
)
from magnoliahold.serving.notices import encode_notice
from tests.core.serving.crashing_day import (
    ANSWER_S,
    EPOCH_S,
    STABLE_WINDOW_S,
    Asked,
    Crash,
    Engine,
    Entry,
    Run,
    Sent,
    Span,
    Table,
)
from tests.core.serving.harness import (
    CREDENTIAL,
    ServingHarness,
    make_configuration,
    make_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from tests.core.serving.crashing_day import (
        Day,
        DeadlyPart,
        EngineLoss,
    )

WARM_UP_S = 3.0
STORE_CLOCK_OFFSET_S = 1000.0
PROMPT_TOKENS = 8_200
READ_TOKENS_PER_S = 8_000.0
PIECES = 150
PIECE_S = 0.02
PIECES_AT_ONCE = 5
COPY_LAG_PIECES = 8
RESUME_S = 0.06
DATA_CENTRES = 4
CONNECT_AGAIN_S = 0.5
FIRST_PART = PromptPart("first", 200)
POPULAR_PART = PromptPart("popular", 1_500)
MIDDLE_PARTS = tuple(PromptPart(f"middle-{number}", 1_200) for number in range(6))
DEADLY_PART_TOKENS = 900
COMPANION_SHARE = 0.33
OPEN_SESSIONS = 6
SESSION_ENDS = 0.25
SESSION_TOKENS = 2_000
_decoder = msgspec.msgpack.Decoder(LoadNotice)


@define
class CrashingFleet:
    """Entries, engines, callers and a store, and what happened to requests."""

    day: Day
    seed: int
    now: float = EPOCH_S - WARM_UP_S
    random: Random = field(init=False)
    arrivals: Random = field(init=False)
    entries: list[Entry] = field(factory=list)
    engines: dict[str, Engine] = field(factory=dict)
    tables: dict[Feed, Table] = field(factory=lambda: {feed: Table() for feed in Feed})
    version: int = 10
    crashes: list[Crash] = field(factory=list)
    sent: list[Sent] = field(factory=list)
    requests: list[Asked] = field(factory=list)
    quarantines: list[float] = field(factory=list)
    sessions: list[PromptPart] = field(factory=list)
    _due: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _serial: Any = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed * 7 + 1)
        self.arrivals = Random(self.seed * 7 + 2)
        self.sessions = [self._make_session() for _ in range(OPEN_SESSIONS)]
        keys = {} if self.day.has_keys else {"workspaces": None}
        self.put_row(Feed.CONFIGURATION, "config", make_configuration(**keys))
        for number in range(1, self.day.engines + 1):
            centre = f"data-centre-{number % DATA_CENTRES}"
            record = make_upstream(number, self.day.service, data_centre=centre)
            self._start_engine(record)
        for number in range(1, self.day.entries + 1):
            self._start_first(number)
        self._plan_arrivals()
        self._plan_troubles()

    def _start_first(self, number: int) -> None:
        for stop in self.day.stops:
            if stop.entry == number and not stop.start_s:
                return
        self._start_entry(number, 1)

    @property
    def seconds(self) -> float:
        """The seconds since the start of the day."""
        return self.now - EPOCH_S

    def run(self) -> CrashingFleet:
        """Runs the whole day."""
        self.advance_to(self.day.length_s)
        return self

    def advance_to(self, seconds: float) -> None:
        """Advances the clock to a time of the day."""
        while self.seconds < seconds - self.day.step_s / 2:
            self.now += self.day.step_s
            while self._due and self._due[0][0] <= self.now:
                heapq.heappop(self._due)[2]()
            for entry in list(self.entries):
                if entry.alive:
                    self._tick(entry)

    def _tick(self, entry: Entry) -> None:
        self._answer_polls(entry)
        events, entry.events = entry.events, []
        entry.harness.now = self.now
        entry.harness.post(*events)
        emitted, entry.harness.emitted = entry.harness.emitted, []
        for effect in emitted:
            handler = HANDLERS.get(type(effect))
            if handler is not None:
                getattr(self, handler)(entry, effect)

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + delay_s, next(self._serial), action))

    def _at(self, seconds: float, action: Callable[[], None]) -> None:
        self._after(EPOCH_S + seconds - self.now, action)

    def _post(self, entry: Entry, event: object, delay_s: float = ANSWER_S) -> None:
        self._after(delay_s, lambda: entry.events.append(event))

    # Entries

    def _start_entry(self, number: int, incarnation: int) -> None:
        harness = ServingHarness(
            name=f"entry-{number}",
            seed=self.seed * 100 + number * 10 + incarnation,
            now=self.now,
        )
        harness.world.checks_all_rows = False
        if incarnation > 1 or self.seconds > 0:
            harness.world.started_at = self.now
        harness.world.identity = evolve(
            harness.world.identity, incarnation=f"{harness.name}.{incarnation}"
        )
        self.entries = [item for item in self.entries if item.number != number]
        self.entries.append(Entry(number, harness, self.now))

    def _stop_entry(self, number: int) -> None:
        for entry in self.entries:
            if entry.number != number or not entry.alive:
                continue
            entry.alive = False
            for run in list(entry.runs.values()):
                self._end_run(run)
            for asked in entry.asked.values():
                if asked.ended_at is None:
                    self._end_asked(asked, None)

    def _is_cut(self, entry: Entry) -> bool:
        return entry.number == self.day.cut_entry and self.day.cut.covers(self.seconds)

    def _is_in_touch(self, entry: Entry) -> bool:
        """Tells whether the rules with a time bound hold for an entry."""
        started_in_day = entry.started_at > EPOCH_S - WARM_UP_S
        if started_in_day and self.now - entry.started_at < STABLE_WINDOW_S:
            return False
        cut = self.day.cut
        window = Span(cut.start_s, cut.end_s + STABLE_WINDOW_S)
        is_cut = entry.number == self.day.cut_entry and cut.end_s > cut.start_s
        return not (is_cut and window.covers(self.seconds))

    def _deliver_notice(self, entry: Entry, effect: SendNotice) -> None:
        names = {peer.name for peer in effect.peers}
        notice = _decoder.decode(encode_notice(effect.notice))
        for other in self.entries:
            lost = self.random.random() < self.day.notice_loss
            lost = lost or self._is_cut(entry) or self._is_cut(other)
            if other.alive and other.name in names and not lost:
                self._post(other, NoticeReceived(notice))

    # Store

    def put_row(self, feed: Feed, key: str, value: Any) -> None:
        """Writes a row, or removes it if the value is None."""
        self.version += 1
        self.tables[feed].rows[key] = (self.version, value)

    @property
    def _is_store_away(self) -> bool:
        return self.day.store_outage.covers(self.seconds)

    def _register_entry(self, entry: Entry, effect: RegisterEntry) -> None:
        if self._is_store_away:
            event = EntryRegistered(False, "no answer")
            self._post(entry, event, effect.timeout_s)
            return
        identity = entry.harness.world.identity
        address = f"10.9.0.{entry.number}"
        record = PeerRecord(identity.name, identity.incarnation, address, 7)
        self.put_row(Feed.PEERS, identity.name, record)
        self._post(entry, EntryRegistered(True))

    def _write_quarantine(self, entry: Entry, effect: WriteQuarantine) -> None:
        if self._is_store_away:
            return
        self.quarantines.append(self.seconds)
        key = str(attrs.astuple(effect.record, recurse=False)[0])
        self.put_row(Feed.QUARANTINE, key, effect.record)

    def _read(self, entry: Entry, effect: ReadFeed) -> None:
        if self._is_store_away:
            failed = FeedFailed(effect.feed, effect.call, "no answer")
            self._post(entry, failed, effect.timeout_s)
            return
        read = FeedRead(
            effect.feed,
            effect.call,
            self.tables[effect.feed].list_rows(),
            self.version,
            self.now,
            self.now + STORE_CLOCK_OFFSET_S,
        )
        self._post(entry, read)

    def _poll(self, entry: Entry, effect: LongPollFeed) -> None:
        entry.polls.append((self.now, effect))

    def _answer_polls(self, entry: Entry) -> None:
        polls, entry.polls = entry.polls, []
        for sent_at, effect in polls:
            rows = self.tables[effect.feed].list_rows(effect.after)
            age_s = self.now - sent_at
            if self._is_store_away:
                if age_s < effect.timeout_s:
                    entry.polls.append((sent_at, effect))
                else:
                    failed = FeedFailed(effect.feed, effect.call, "no answer")
                    entry.events.append(failed)
            elif rows or age_s >= effect.wait_s:
                changed = FeedChanged(
                    effect.feed,
                    effect.call,
                    rows,
                    self.version,
                    sent_at,
                    self.now + STORE_CLOCK_OFFSET_S,
                )
                entry.events.append(changed)
            else:
                entry.polls.append((sent_at, effect))

    def _register_engine(self, record: Any, removed: bool = False) -> None:
        """Writes or removes an engine's registration, later if the store is away."""
        if self._is_store_away:
            self._after(0.5, lambda: self._register_engine(record, removed))
            return
        current = self.tables[Feed.UPSTREAMS].rows.get(record.id, (0, None))[1]
        if not removed:
            self.put_row(Feed.UPSTREAMS, record.id, record)
        elif current is not None and current.born_ms == record.born_ms:
            self.put_row(Feed.UPSTREAMS, record.id, None)

    # Engines

    def _start_engine(self, record: Any) -> None:
        self.engines[record.address] = Engine(record)
        self._register_engine(record)

    def _crash(self, engine: Engine, part: str = "", silent: bool = False) -> None:
        if not engine.up:
            return
        engine.up = False
        engine.silent = silent
        record = engine.record
        self.crashes.append(Crash(self.seconds, part))
        for run in list(engine.runs):
            self._end_run(run)
            if not silent:
                event = AttemptInterrupted(run.send.attempt, "connection reset", True)
                delay_s = self.random.uniform(ANSWER_S, self.day.reset_delay_s)
                self._post(run.entry, event, delay_s)
        self._after(
            self.random.uniform(2.0, 3.0), lambda: self._register_engine(record, True)
        )
        changes = {"born_ms": int(self.now * 1000)}
        if self.random.random() < 0.5:
            changes["id"] = f"{record.id}+"
        restarted = evolve(record, **changes)
        self._after(
            self.random.uniform(self.day.restart.start_s, self.day.restart.end_s),
            lambda: self._start_engine(restarted),
        )

    def _lose_engines(self, loss: EngineLoss) -> None:
        running = [engine for engine in self.engines.values() if engine.up]
        if not running:
            return
        chosen = self.random.choice(running)
        lost = [chosen]
        if loss.data_centre:
            centre = chosen.record.data_centre
            lost = [item for item in running if item.record.data_centre == centre]
        for engine in lost:
            self._crash(engine, silent=loss.silent)

    def _reset_connections(self) -> None:
        engine = self.random.choice(list(self.engines.values()))
        for run in list(engine.runs):
            self._end_run(run)
            event = AttemptInterrupted(run.send.attempt, "connection reset", True)
            self._post(run.entry, event)

    def _probe(self, entry: Entry, effect: ProbeServingUpstream) -> None:
        record = effect.upstream
        engine = self.engines.get(record.address)
        if engine is not None and engine.up and engine.record.id == record.id:
            answered = UpstreamAnsweredProbe(record.id, record.born_ms)
            self._post(entry, answered)
        else:
            silent = engine is not None and engine.silent
            delay_s = effect.timeout_s if silent else ANSWER_S
            failed = UpstreamFailedProbe(record.id, record.born_ms, "lost", silent)
            self._post(entry, failed, delay_s)

    def _list_prompts(self, entry: Entry, effect: ListPrompts) -> None:
        engine = self.engines.get(effect.upstream.address)
        event: object = PromptListFailed(effect.upstream.id, "refused")
        if engine is not None and engine.up:
            event = PromptsListed(effect.upstream.id, tuple(engine.cached))
        self._post(entry, event)

    # Runs

    def _send(self, entry: Entry, effect: SendAttempt) -> None:
        asked = entry.asked[effect.handle]
        engine = self.engines.get(effect.upstream.address)
        if engine is None or not engine.up:
            silent = engine is not None and engine.silent
            delay_s = effect.connect_timeout_s if silent else ANSWER_S
            event = AttemptNotSent(effect.attempt, "no connection", silent)
            self._post(entry, event, delay_s)
            return
        entry.events.append(AttemptSent(effect.attempt))
        if engine.record.id != effect.upstream.id:
            head = AnswerHead(421, effect.request_id, not_run=True, misdirected=True)
            self._post(entry, AnswerReceived(effect.attempt, head))
            return
        if asked.deadly and self._find_deadly(asked):
            self.sent.append(Sent(self.seconds, asked.deadly, self._is_in_touch(entry)))
        run = Run(entry, effect, asked, engine)
        source = effect.copy_source
        if source is not None and source.key not in engine.copies:
            head = AnswerHead(503, effect.request_id, not_run=True)
            self._post(entry, AnswerReceived(effect.attempt, head))
            return
        entry.runs[effect.attempt] = run
        engine.runs.append(run)
        run.last = effect.resume_after or 0
        delay_s = RESUME_S
        if source is not None:
            del engine.copies[source.key]
        else:
            delay_s = self._count_read_s(engine, asked)
        self._after(delay_s, lambda: self._begin(run))

    def _count_read_s(self, engine: Engine, asked: Asked) -> float:
        """Returns when an engine will have read a prompt, prompts one by one."""
        unread = list(asked.parts)
        while unread and unread[0].id in engine.cached:
            unread.pop(0)
        read_s = sum(part.tokens for part in unread) / READ_TOKENS_PER_S
        engine.read_until = max(engine.read_until, self.now) + read_s
        return engine.read_until - self.now + RESUME_S

    def _find_deadly(self, asked: Asked) -> bool:
        ids = {part.id for part in asked.parts}
        return any(
            part.id in ids and part.deadly.covers(self.seconds)
            for part in self.day.deadly
        )

    def _begin(self, run: Run) -> None:
        if run.ended:
            return
        head = AnswerHead(200, run.asked.id, signed=True)
        opened = StreamOpened(run.send.attempt, head)
        if self._find_deadly(run.asked):
            if self.random.random() < self.day.head_share:
                run.entry.events.append(opened)
            self._crash(run.engine, run.asked.deadly)
            return
        run.engine.cached.update(part.id for part in run.asked.parts)
        run.entry.events.append(opened)
        self._write_pieces(run, 1)

    def _write_pieces(self, run: Run, count: int) -> None:
        if run.ended:
            return
        count = min(count, PIECES - run.last)
        run.last += count
        if count:
            event = PiecesReceived(run.send.attempt, run.last, count)
            run.entry.events.append(event)
        self._back_up(run)
        if run.last < PIECES:
            delay_s = PIECES_AT_ONCE * PIECE_S
            self._after(delay_s, lambda: self._write_pieces(run, PIECES_AT_ONCE))
            return
        run.entry.events.append(StreamEnded(run.send.attempt))
        self._end_run(run)

    def _back_up(self, run: Run) -> None:
        """Copies what an engine has made to the holder that it was told."""
        if run.send.copy_to is None or run.last <= COPY_LAG_PIECES:
            return
        holder = self.engines.get(run.send.copy_to[0])
        if holder is not None and holder.up:
            holder.copies[run.asked.id] = run.last

    def _end_run(self, run: Run) -> None:
        run.ended = True
        run.entry.runs.pop(run.send.attempt, None)
        if run in run.engine.runs:
            run.engine.runs.remove(run)

    def _close_attempt(self, entry: Entry, effect: CloseAttempt) -> None:
        run = entry.runs.get(effect.attempt)
        if run is not None:
            self._end_run(run)

    def _copy(self, entry: Entry, effect: CopyKvCache) -> None:
        self._after(0.1, lambda: self._finish_copy(entry, effect))

    def _finish_copy(self, entry: Entry, effect: CopyKvCache) -> None:
        run = entry.runs.get(effect.attempt)
        holder = self.engines.get(effect.holder.address)
        if run is None or holder is None or not holder.up:
            failed = CopyFailed(effect.attempt, effect.holder.id, "no room")
            entry.events.append(failed)
            return
        key = f"handle-{run.asked.id}"
        holder.copies[key] = run.last
        source = run.engine.record
        copy = CopyReference(source.address, source.port, key)
        entry.events.append(KvCacheCopied(effect.attempt, effect.holder.id, copy))

    def _free_copy(self, entry: Entry, effect: FreeCopy) -> None:
        for engine in self.engines.values():
            engine.copies.pop(effect.copy.key, None)

    # Callers

    def _plan_arrivals(self) -> None:
        """Draws the arrivals of the day: the sound ones don't depend on the others."""
        day = self.day
        last_s = day.length_s - PIECES * PIECE_S - 3.0
        for at_s in self._draw_times(day.sound_per_s, Span(day.sound_from_s, last_s)):
            parts = self._draw_sound_parts(at_s)
            self._at(at_s, lambda parts=parts: self._ask(parts))  # type: ignore[misc]
        for part in day.deadly:
            times = self._draw_times(part.rate_per_s, part.requested)
            for at_s in (part.requested.start_s, *times):
                parts = self._draw_deadly_parts(part)
                self._at(
                    at_s,
                    lambda parts=parts, id_=part.id: self._ask(parts, id_),  # type: ignore[misc]
                )

    def _draw_times(self, rate_per_s: float, span: Span) -> list[float]:
        times = []
        at_s = span.start_s + self.arrivals.expovariate(rate_per_s)
        while at_s < span.end_s:
            times.append(at_s)
            at_s += self.arrivals.expovariate(rate_per_s)
        return times

    def _draw_sound_parts(self, at_s: float) -> tuple[PromptPart, ...]:
        shared = self.arrivals.sample(MIDDLE_PARTS, self.day.middle)
        if self.arrivals.random() < self.day.popular_share:
            shared.append(POPULAR_PART)
        holds_companions = self.arrivals.random() < COMPANION_SHARE
        if holds_companions and self.day.companion_span.covers(at_s):
            shared.extend(self.day.held_companions)
        if self.day.sessions:
            shared.append(self._draw_session())
        return self._add_own_part((FIRST_PART, *shared))

    def _draw_session(self) -> PromptPart:
        """Draws one of the open sessions, some of which end and make room for new."""
        place = self.arrivals.randrange(OPEN_SESSIONS)
        part = self.sessions[place]
        if self.arrivals.random() < SESSION_ENDS:
            self.sessions[place] = self._make_session()
        return part

    def _make_session(self) -> PromptPart:
        return PromptPart(f"session-{next(self._serial)}", SESSION_TOKENS)

    def _draw_deadly_parts(self, part: DeadlyPart) -> tuple[PromptPart, ...]:
        deadly = PromptPart(part.id, DEADLY_PART_TOKENS)
        shared = self.arrivals.sample(MIDDLE_PARTS, part.extra_middle)
        if self.arrivals.random() < self.day.popular_share:
            shared.append(POPULAR_PART)
        shared.extend(part.companions)
        if part.first:
            return self._add_own_part((deadly, *shared))
        if part.tail:
            return self._add_own_part((FIRST_PART, *shared, deadly))
        return self._add_own_part((FIRST_PART, deadly, *shared))

    def _add_own_part(self, shared: Iterable[PromptPart]) -> tuple[PromptPart, ...]:
        parts = tuple(shared)
        left = PROMPT_TOKENS - sum(part.tokens for part in parts)
        own = f"own-{self.arrivals.getrandbits(48):x}"
        return (*parts, PromptPart(own, max(left, 400)))

    def _ask(self, parts: tuple[PromptPart, ...], deadly: str = "") -> None:
        asked = Asked(
            f"request-{next(self._serial)}",
            parts,
            self.now,
            self.now + self.day.caller_timeout_s,
            deadly,
        )
        self._submit(asked)

    def _submit(self, asked: Asked) -> None:
        """Sends a request to one of the entries that run, later if none does."""
        running = [entry for entry in self.entries if entry.alive]
        if not running:
            self._after(CONNECT_AGAIN_S, lambda: self._submit(asked))
            return
        self.requests.append(asked)
        entry = self.random.choice(running)
        handle = entry.next_handle
        entry.next_handle += 1
        entry.asked[handle] = asked
        entry.events.append(RequestArrived(self._make_caller(handle, asked)))

    def _make_caller(self, handle: int, asked: Asked) -> CallerRequest:
        return CallerRequest(
            handle=handle,
            request_id=asked.id,
            method="POST",
            host="host.example",
            path=f"/{RouteKind.STREAM.value}/x",
            credential=CREDENTIAL,
            timeout_s=asked.deadline_at - self.now,
            resume_after=asked.resume_after,
            prompt=asked.parts,
            fingerprint=f"fingerprint-{asked.parts[-1].id}",
        )

    def _end_asked(self, asked: Asked, retry_after_s: float | None) -> None:
        """Ends a request without success; its caller may repeat it."""
        asked.ended_at = self.now
        left_s = asked.deadline_at - self.now
        wait_s = self._find_repeat_wait_s(retry_after_s, left_s)
        if asked.repeat >= self.day.repeats or left_s <= wait_s:
            return
        repeat = Asked(
            f"{asked.id}-again",
            asked.parts,
            self.now + wait_s,
            asked.deadline_at,
            asked.deadly,
            repeat=asked.repeat + 1,
            resume_after=asked.last_piece,
            last_piece=asked.last_piece,
            origin=asked.root,
        )
        self._after(wait_s, lambda: self._submit(repeat))

    def _find_repeat_wait_s(self, retry_after_s: float | None, left_s: float) -> float:
        return 0.2 if retry_after_s is None else min(retry_after_s, left_s / 3)

    def _deliver(self, entry: Entry, effect: DeliverPieces) -> None:
        asked = entry.asked[effect.handle]
        run = entry.runs.get(effect.attempt)
        asked.began_at = asked.began_at or self.now
        if run is not None:
            asked.last_piece = run.last

    def _finish(self, entry: Entry, effect: DeliverAnswer | FinishAnswer) -> None:
        asked = entry.asked[effect.handle]
        asked.ended_at = self.now
        asked.completed = True
        asked.root.completed = True

    def _refuse(self, entry: Entry, effect: RefuseCaller) -> None:
        asked = entry.asked[effect.handle]
        if effect.not_run:
            asked.refused_at = self.now
            asked.retry_after_s = effect.retry_after_s
            asked.reason = effect.reason
            asked.engines_up = sum(engine.up for engine in self.engines.values())
        self._end_asked(asked, effect.retry_after_s)

    def _abort(self, entry: Entry, effect: AbortAnswer) -> None:
        self._end_asked(entry.asked[effect.handle], None)

    # Troubles

    def _plan_troubles(self) -> None:
        for loss in self.day.losses:
            self._at(loss.at_s, lambda loss=loss: self._lose_engines(loss))  # type: ignore[misc]
        for at_s in self.day.resets:
            self._at(at_s, self._reset_connections)
        for stop in self.day.stops:
            number = stop.entry
            if stop.start_s:
                self._at(stop.start_s, lambda n=number: self._stop_entry(n))  # type: ignore[misc]
            self._at(stop.end_s, lambda n=number: self._start_entry(n, 2))  # type: ignore[misc]


# The methods that carry out the effects of entries.
HANDLERS: dict[type, str] = {
    AbortAnswer: "_abort",
    CloseAttempt: "_close_attempt",
    CopyKvCache: "_copy",
    DeliverAnswer: "_finish",
    DeliverPieces: "_deliver",
    FinishAnswer: "_finish",
    FreeCopy: "_free_copy",
    ListPrompts: "_list_prompts",
    LongPollFeed: "_poll",
    ProbeServingUpstream: "_probe",
    ReadFeed: "_read",
    RefuseCaller: "_refuse",
    RegisterEntry: "_register_entry",
    SendAttempt: "_send",
    SendNotice: "_deliver_notice",
    WriteQuarantine: "_write_quarantine",
}
