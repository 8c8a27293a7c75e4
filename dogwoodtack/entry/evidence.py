"""What the attempts of requests show of their instances."""

from ..clock import Clock
from ..logs import log_event
from ..placement import (
    PATH_FAILURES,
    AttemptOutcome,
    Instance,
    InstanceNotice,
    Observation,
    Placer,
    observation_for,
)
from .attempt import Attempt, AttemptResult
from .idle_limit import IdleLimit
from .paths import PathMonitor

__all__ = ["Evidence"]


class Evidence:
    """Record what attempts show, for the placement of later requests.

    Args:
        clock: the current time.
        placer: keeps the health, notices and rate limits of instances.
        paths: whether this host reaches the instances.
        idle_limit: learns after what idle time instances drop connections.
    """

    def __init__(
        self,
        clock: Clock,
        placer: Placer,
        paths: PathMonitor,
        idle_limit: IdleLimit,
    ) -> None:
        self._clock = clock
        self._placer = placer
        self._paths = paths
        self._idle_limit = idle_limit

    def observe(self, instance_id: str, outcome: AttemptOutcome) -> Observation | None:
        """Record what an outcome shows of an instance and return what peers are told.

        What may only show that this host's paths are lost is not told.
        """
        observation = observation_for(outcome)
        if observation is None:
            return None
        is_path_suspect = self._paths.is_suspect
        now = self._clock.monotonic()
        self._placer.health.observe(instance_id, observation, now, is_path_suspect)
        self._placer.record_outcome(instance_id, observation, now)
        if is_path_suspect and observation in PATH_FAILURES:
            return None
        return observation

    def record(
        self, attempt: Attempt, result: AttemptResult, service: str, request_id: str
    ) -> None:
        """Record what an ended attempt shows, except its outcome.

        Args:
            attempt: the attempt.
            result: how it ended.
            service: the service of the request.
            request_id: id of the request, for the log.
        """
        instance, notice = attempt.target.instance, result.notice
        if instance is None:
            return
        if notice is not None and result.outcome is not AttemptOutcome.MISDIRECTED:
            self._record_rate_limit(attempt, result, request_id)
            self._record_leaving(instance, notice, request_id)
            self._record_pause(instance, notice, request_id)
        if result.reused and result.outcome is AttemptOutcome.CUT:
            self._idle_limit.record_dropped(service, result.idle_s)
        elif result.reused and result.outcome is AttemptOutcome.ANSWERED:
            self._idle_limit.record_reused(service)

    def _record_rate_limit(
        self, attempt: Attempt, result: AttemptResult, request_id: str
    ) -> None:
        per_s = result.notice.rate_limit_per_s
        if per_s is None and result.head is None:
            # What is no valid response doesn't end a limit.
            return
        name, now = attempt.target.name, self._clock.monotonic()
        if self._placer.rate_limits.on_response(name, per_s, attempt.started_at, now):
            log_event(
                "instance-rate-limit",
                instance=name,
                per_s="none" if per_s is None else per_s,
                request=request_id,
            )

    def _record_leaving(
        self, instance: Instance, notice: InstanceNotice, request_id: str
    ) -> None:
        if notice.is_leaving and self._placer.notices.on_leaving(
            instance.id, instance.born_ms
        ):
            log_event("instance-leaving", instance=instance.id, request=request_id)

    def _record_pause(
        self, instance: Instance, notice: InstanceNotice, request_id: str
    ) -> None:
        if notice.pause_s is None:
            return
        now, unix_ms = self._clock.monotonic(), int(self._clock.wall() * 1000)
        if self._placer.notices.on_pause(instance, notice.pause_s, now, unix_ms):
            log_event(
                "instance-paused",
                instance=instance.id,
                seconds=notice.pause_s,
                request=request_id,
            )
