"""Formatting of log lines as text or JSON."""

import logging

import msgspec
from absl import logging as absl_logging


class JsonFormatter(logging.Formatter):
    """Formats each record as a JSON object on one line.

    :param process: name of this process.
    """

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        """Format a record.

        :param record: the log record.
        """
        line = {
            "time_s": record.created,
            "level": record.levelname,
            "process": self._process,
            "module": record.module,
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def configure_logs(log_format: str, process: str) -> None:
    """Configure logging to standard error.

    :param log_format: ``text`` or ``json``.
    :param process: name of this process, included in each JSON line.
    """
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(absl_logging.INFO)
    absl_logging.set_stderrthreshold(absl_logging.INFO)
    if log_format == "json":
        absl_logging.get_absl_handler().setFormatter(JsonFormatter(process))
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
