"""The ordinary path: rounds over the pool, and one draw for each submission in it."""

from locktide.scheduler.estimators.rendezvous import rendezvous_order
from locktide.scheduler.policy.endpoint import Endpoint
from locktide.scheduler.policy.outcomes import Ends
from locktide.scheduler.policy.request import Request
from locktide.scheduler.types import Effect


class Rounds(Ends):
    def round(self) -> None:
        now, prompt = self.now, self.prompt
        # Guards the CPU: a round ends once no worker has room, but a short pool is not worth the count.
        ready, room = self.fitting[None], len(self.pool) + 1
        if not self.sparse or 8 * room > len(ready):
            room = sum([worker.has_room(1.0, now, prompt) for worker in ready])
        for sub in list(self.pool):
            if room <= 0:
                break
            if now < sub.not_before:
                continue
            try:
                room -= self.try_one(sub)
            except Exception:
                self.break_off(sub.id)

    def try_one(self, sub: Request) -> bool:
        """One draw for it; whether that took the last room of a worker."""
        now, prompt = self.now, self.prompt
        fitting = self.fitting[sub.ground]
        if sub.dispatches:
            held, tried = [one.worker for one in sub.held], [one.worker for one in sub.dispatches]
            fitting = [one for one in fitting if one not in held and sub.may_repeat_on(one, now)]
            fitting = [one for one in fitting if one not in tried] or fitting
        if sub.key is not None:
            fitting = self.near(sub, fitting)
        if not fitting:
            return False
        worker = self.draw(fitting, sub.key is None)
        if (
            worker.has_room(sub.width, now, prompt)
            and self.holds(worker, sub)
            and (
                not worker.doubtful(now)
                or self.all_doubtful()
                # Guards against losing for good what cannot be sent again: others do the trying.
                or (sub.grade.effect != Effect.AT_MOST_ONCE or self.all_once)
                and worker.trusted(now, self.chance)
            )
        ):
            self.advance(sub, worker)
            return not worker.has_room(1.0, now, prompt)
        return False

    def draw(self, fitting: list[Endpoint], any_one: bool) -> Endpoint:
        """One uniform draw, made again until a worker holds; the same in law as one by their odds."""
        if not self.list.terms.live_ratings:
            return fitting[self.chance.below(len(fitting))]
        odds, cold, now = list[float](), list[int](), self.now
        for worker in fitting:
            if self.cold.is_cold(worker, now):
                cold.append(len(odds))
                odds.append(0.0)
            else:
                kept = worker.kept and worker.kept[-1] >= now
                odds.append(worker.odds if kept else worker.odds * self.stranger)
        if cold:
            # Guards against all that turn to one that has just started, as it holds nothing: it is drawn as
            # one of all, in the measure of its warmth, and what the budget grants is spread so, too.
            usual = sum(odds) / max(1, len(odds) - len(cold)) or 1.0
            for place in cold:
                odds[place] = usual * self.cold.warmth(fitting[place], now)
        drawn = fitting[self.chance.by(odds)]
        if any_one and cold and self.cold.is_cold(drawn, now):
            turn = self.cold.turn_of(self.fitting[None], now, self.chance)
            drawn = turn if turn in fitting else drawn
        return drawn

    def near(self, sub: Request, fitting: list[Endpoint]) -> list[Endpoint]:
        """Among which workers a submission with a key draws: few at first, so that what shares it meets where
        what it needs is at hand, twice as many after each wait without a place."""
        assert sub.key is not None
        row = self.rows.get((sub.key, sub.ground))
        if row is None:
            if len(self.rows) >= 1024:  # guards the memory where each submission has a key of its own
                self.rows.clear()
            row = rendezvous_order(self.fitting[sub.ground], sub.key)
            self.rows[sub.key, sub.ground] = row
        # Half as many again as the key's share of what we see, beside five of others that stand for what was
        # before; two at least: one alone queues. Half a usual run: elsewhere what it needs has to be fetched,
        # which takes about a run; going on much sooner makes keys homeless in a burst.
        asked = self.asked[sub.key].read(self.now) if sub.key in self.asked else 0.0
        share = asked / (5.0 + self.asked_all.read(self.now))
        waits = 2.0 * (self.now - sub.arrived_at) / self.runs[sub.grade.name].mean(self.now)
        reach = max(2, int(1.5 * share * len(row) + 0.99)) << int(min(10.0, waits))
        if len(fitting) < len(row):  # some of them it may not have
            allowed = set(fitting)
            row = [worker for worker in row if worker in allowed]
        # Passed over are the crowded: those before reach is counted would send each key to ever new workers.
        crowded = max(1.5, 2.0 * self.held)
        return [worker for worker in row[:reach] if worker.load <= crowded]

    def holds(self, worker: Endpoint, sub: Request) -> bool:
        """Whether a draw stands: where c tells no slow kind from a fast, and at a cold worker."""
        blind = self.sparse and not worker.own and not self.list.terms.live_ratings
        if blind and not self.chance.falls(self.paces.taking.get(worker.kind, 1.0)):
            return False
        return not self.cold.is_cold(worker, self.now) or self.cold.allows(
            worker, self.work(sub), self.shares.part, self.now, self.chance, self.fitting[None]
        )

    def all_doubtful(self) -> bool:
        ready = self.fitting[None]
        return 2 * sum([worker.doubtful(self.now) for worker in ready]) > len(ready)
