"""Data that the policies share: requests, attempts, endpoints, estimates. No decisions are made here."""

from locktide.scheduler.state.active_config import ActiveConfig
from locktide.scheduler.state.clock import Clock
from locktide.scheduler.state.command_buffer import CommandBuffer
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.state.endpoint_table import EndpointTable
from locktide.scheduler.state.fleet_estimates import FleetEstimates
from locktide.scheduler.state.internal_errors import InternalErrors
from locktide.scheduler.state.open_attempts import OpenAttempts
from locktide.scheduler.state.request import Attempt, Request
from locktide.scheduler.state.request_pool import RequestPool
from locktide.scheduler.state.timers import TimerPurpose, Timers

__all__ = [
    "ActiveConfig",
    "Attempt",
    "Clock",
    "CommandBuffer",
    "Endpoint",
    "EndpointTable",
    "FleetEstimates",
    "InternalErrors",
    "OpenAttempts",
    "Request",
    "RequestPool",
    "TimerPurpose",
    "Timers",
]
