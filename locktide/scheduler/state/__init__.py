"""What the scheduler's mechanisms share: requests, attempts, endpoints. Nothing here decides."""

from locktide.scheduler.state.attempt import Attempt
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.state.request import Request
from locktide.scheduler.state.scheduler_state import SchedulerState, TimerPurpose

__all__ = ["Attempt", "Endpoint", "Request", "SchedulerState", "TimerPurpose"]
