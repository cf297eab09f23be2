"""``pearshed where``: say where a request would go now, and why, without sending it."""

import argparse
from collections.abc import Iterator, Mapping
from typing import Any

import orjson
import urllib3

from pearshed._internal.cli import status_codes
from pearshed._internal.commands.base import Command
from pearshed._internal.errors import UnreachableProcessError
from pearshed._internal.gateway.forwarding.destination import DestinationQuery, encode_query
from pearshed._internal.models.routing import PromptPart
from pearshed._internal.utils import strict_http

_TIMEOUT_S = 2.0
_OK = 200


class WhereCommand(Command):
    """Asks a running gateway where a request would go."""

    description = (
        "Asks a running gateway where a request would go now, and why; nothing is sent to an "
        "endpoint. example: pearshed where --gateway 10.1.0.9:8425 --route draft "
        "--customer acme --part 5c1e07a2:800 --part own:250 --output 80"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's arguments."""
        parser.add_argument(
            "--gateway", required=True, metavar="IP:PORT", help="the gateway's control address"
        )
        parser.add_argument("--route", required=True, metavar="NAME", help="name of the route")
        parser.add_argument("--customer", default="", metavar="NAME", help="name of the customer")
        parser.add_argument(
            "--part",
            action="append",
            default=[],
            type=_parse_part,
            metavar="ID:TOKENS",
            help="a part of the prompt, in order; the last is the request's own",
        )
        parser.add_argument(
            "--output", type=int, default=0, metavar="TOKENS", help="expected output tokens"
        )
        parser.add_argument("--json", action="store_true", help="print the page as JSON")

    def run(self, options: argparse.Namespace) -> int:
        """Print what the gateway says."""
        query = DestinationQuery(
            options.route, options.customer, tuple(options.part), options.output
        )
        url = f"http://{options.gateway}/where?{encode_query(query)}"
        try:
            response = strict_http.get(url, _TIMEOUT_S)
        except urllib3.exceptions.HTTPError as error:
            raise UnreachableProcessError(
                f"no gateway responds at {options.gateway}",
                context=[str(error)],
                hint="use the address that the gateway serves its pages at, see docs/OPERATIONS.md",
            ) from error
        try:
            page = orjson.loads(response.data)
        except orjson.JSONDecodeError as error:
            raise UnreachableProcessError(
                f"the process at {options.gateway} has no such page",
                context=[response.data.decode(errors="replace").strip()],
                hint="gateways of older builds don't have it",
            ) from error
        if options.json:
            print(orjson.dumps(page, option=orjson.OPT_INDENT_2).decode())
        else:
            print("\n".join(render(page)))
        return status_codes.SUCCESS if response.status == _OK else status_codes.ERROR


def render(page: Mapping[str, Any]) -> Iterator[str]:
    """Yield the lines of the report."""
    if "error" in page:
        yield f"error: {page['error']}"
        return
    yield (
        f"route {page['route']}, rank {page['rank']}, target {page['target_ms']} ms, "
        f"configuration {page['configuration']}"
    )
    for service in page["services"]:
        goal = service["goes_to"] or f"refused: {service['refused']}"
        yield f"service {service['service']}: {goal}"
        for number, candidate in enumerate(service["candidates"], start=1):
            yield f"  {number}. {candidate['endpoint']} in {candidate['data_centre']}"
            yield from (f"     {line}" for line in _reasons(candidate))
        for other in service["not_used"]:
            yield f"  -  {other['endpoint']}: {other['reason']}"


def _reasons(candidate: Mapping[str, Any]) -> Iterator[str]:
    estimate, side = candidate["estimate"], candidate["side"]
    if estimate is not None:
        yield (
            f"ready in {estimate['ready_ms']} ms: wait {estimate['wait_ms']}, prefill "
            f"{estimate['prefill_ms']}, first event {estimate['first_event_ms']} "
            f"(inputs up to {estimate['age_ms']} ms old)"
        )
    if side is not None:
        yield (
            f"its side, {side['age_ms']} ms ago: {side['tokens_per_s']} tokens/s, "
            f"{side['pending_tokens']} tokens pending, {side['waiting']} waiting, "
            f"{side['running']} running"
        )
    yield f"{candidate['in_flight']} of this gateway, {candidate['other_callers']} of others"
    if candidate["copies_from"]:
        yield f"copies the shared part from {candidate['copies_from']}"
    if candidate["next_place_ms"]:
        yield f"at its limit: next place in {candidate['next_place_ms']} ms"
    if candidate["failure_share"]:
        yield f"{candidate['failure_share']:.0%} of its requests failed lately"


def _parse_part(text: str) -> PromptPart:
    part_id, _, tokens = text.rpartition(":")
    if not part_id or not tokens.isdigit():
        raise argparse.ArgumentTypeError(f"{text!r}: expected ID:TOKENS")
    return PromptPart(part_id, int(tokens))
