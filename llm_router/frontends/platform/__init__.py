"""Frontend for the platform's protocol: HTTP/1.1 with prompt facts in headers and event-stream responses."""

from llm_router.frontends.platform.frontend import PlatformFrontend
from llm_router.frontends.platform.load_report import parse_load_probe
from llm_router.frontends.platform.names import LOAD_REPORT_PATH, reservation_path

__all__ = ["LOAD_REPORT_PATH", "PlatformFrontend", "parse_load_probe", "reservation_path"]
