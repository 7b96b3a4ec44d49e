"""Header names, paths and environment variables of the platform."""

from savorypond.gateway.headers import HeaderNames

READY_PATH = "/savorypond/readyz"
SETTINGS_VARIABLE = "SAVORYPOND_NODE_FILE"

# Rises each time that the store returns from an older copy.
STORE_ERA_HEADER = "store-era"

HEADERS = HeaderNames(
    request_id="savorypond-request-id",
    time_left="savorypond-deadline-ms",
    signature="savorypond-response-stamp",
    expected_server="savorypond-target-instance",
    not_run="savorypond-not-executed",
    part_signatures="savorypond-part-stamps",
    missing_parts="savorypond-missing-parts",
    rate_limit="server-limit",
    leaving="server-leaving",
)
