"""The trainers' interface: submit prompts, pull samples, publish weights.

Any instance accepts a trainer's request. Requests for prompts, samples and the
status are served by the holder of the trainer's duty, to which other instances
forward them. Every instance publishes and shows versions itself.
"""

from typing import TypedDict

from hibiscuspin.clock import Clock
from hibiscuspin.config import Config
from hibiscuspin.edges import StoreError, TargetError
from hibiscuspin.edges.auth import team_of
from hibiscuspin.edges.http import HttpClient
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.settings import parse_address
from hibiscuspin.tasks.configuration import Configuration
from hibiscuspin.tasks.duties import Duties, HeldDuty
from hibiscuspin.tasks.measures import DeliveredSample, Delivery, Measures
from hibiscuspin.tasks.samples import (
    PullAnswer,
    SampleBody,
    StepBody,
    TrainerStatus,
)
from hibiscuspin.tasks.steps import Steps
from hibiscuspin.tasks.versions import Versions
from hibiscuspin.tasks.weights import WeightRollouts

__all__ = ["TrainerInterface"]

FORWARDED_HEADER = "x-hibiscuspin-forwarded"
FORWARD_TIMEOUT_S = 30.0
MAX_WAIT_MS = 20_000


class VersionBody(TypedDict):
    """The body of `POST …/version`."""

    version: int
    source: str


class SubmitAnswer(TypedDict):
    """The response of `POST …/prompts`."""

    slots: int


class RolloutBody(TypedDict):
    """The progress of a version's roll-out, as this instance knows it."""

    version: int
    phase: str
    engines: int
    staged: int
    serving: int
    lagging: list[str]


class TrainerInterface:
    """Turns trainers' requests into steps and weight roll-outs."""

    def __init__(
        self,
        configuration: Configuration,
        duties: Duties,
        steps: Steps,
        weights: WeightRollouts,
        versions: Versions,
        measures: Measures,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._duties = duties
        self._steps = steps
        self._weights = weights
        self._versions = versions
        self._measures = measures
        self._clock = clock

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes of this interface."""
        base = "/v1/trainers/{trainer}"
        step = base + "/steps/{number}"
        return (
            Route(
                "POST",
                step + "/prompts",
                self._handle_submit,
                summary="Adds prompts to a step; ignores repeated ones.",
                body_type=StepBody,
                response_type=SubmitAnswer,
                success_status=202,
            ),
            Route(
                "GET",
                step + "/samples",
                self._handle_pull,
                ("after", "wait_ms"),
                summary="Pulls samples; acknowledges those up to the cursor.",
                response_type=PullAnswer,
            ),
            Route(
                "POST",
                base + "/version",
                self._handle_publish,
                summary="Publishes new weights to the model's engines.",
                body_type=VersionBody,
                response_type=RolloutBody,
                success_status=202,
            ),
            Route(
                "GET",
                base + "/version",
                self._show_version,
                summary="Shows the progress of the newest version's roll-out.",
                response_type=RolloutBody,
            ),
            Route(
                "GET",
                base + "/status",
                self._show_status,
                summary="Shows the trainer's status as its holder knows it.",
                response_type=TrainerStatus,
            ),
        )

    def _handle_submit(
        self, request: Request, trainer: str, number: str
    ) -> Response:
        config = self._authorise(request, trainer)
        step = _parse_integer(number, "step")
        body = request.json(StepBody)
        _check_max_tokens(body, config, trainer)
        holding = self._acquire_duty(trainer)
        if holding is None:
            return self._forward(request, trainer)
        slots = self._steps.submit(config, holding, trainer, step, body)
        return json_response({"slots": slots}, 202)

    def _handle_pull(
        self, request: Request, trainer: str, number: str
    ) -> Response:
        config = self._authorise(request, trainer)
        step = _parse_integer(number, "step")
        after = _parse_integer(request.query.get("after", "0"), "after")
        wait_ms = _parse_integer(request.query.get("wait_ms", "0"), "wait_ms")
        holding = self._acquire_duty(trainer)
        if holding is None:
            return self._forward(request, trainer)
        wait_s = min(wait_ms, MAX_WAIT_MS) / 1000
        started = self._clock.monotonic()
        answer = self._steps.pull(config, holding, trainer, step, after, wait_s)
        self._measures.record_pull(trainer, started, self._clock.monotonic())
        team = config["trainers_by_name"][trainer]["team"]
        self._measures.record_delivery(
            Delivery(trainer, team, step, answer["cursor"]),
            [
                self._delivered_sample(trainer, sample)
                for sample in answer["samples"]
            ],
        )
        return json_response(answer)

    def _delivered_sample(
        self, trainer: str, sample: SampleBody
    ) -> DeliveredSample:
        oldest = min(span["version"] for span in sample["versions"])
        newest = self._versions.current(trainer)
        duration_s = sample["finished_at_s"] - sample["started_at_s"]
        return DeliveredSample(
            max(0, newest - oldest), duration_s, sample["engine"]
        )

    def _show_status(self, request: Request, trainer: str) -> Response:
        config = self._authorise(request, trainer)
        holding = self._acquire_duty(trainer)
        if holding is None:
            return self._forward(request, trainer)
        return json_response(self._steps.status(config, holding, trainer))

    def _handle_publish(self, request: Request, trainer: str) -> Response:
        config = self._authorise(request, trainer)
        body = request.json(VersionBody)
        newest = self._versions.publish(
            trainer, body["version"], body["source"]
        )
        self._steps.record_version(trainer, newest["version"])
        model = config["trainers_by_name"][trainer]["model"]
        self._weights.roll_out(model, newest["version"], newest["source"])
        return json_response(self._rollout_body(model), 202)

    def _show_version(self, request: Request, trainer: str) -> Response:
        config = self._authorise(request, trainer)
        model = config["trainers_by_name"][trainer]["model"]
        return json_response(self._rollout_body(model))

    def _rollout_body(self, model: str) -> RolloutBody:
        state = self._weights.state(model)
        if state is None:
            raise HibiscusError(
                ErrorKind.NOT_FOUND,
                f"No version of model {model!r} has been published.",
            )
        return {
            "version": state.desired.version,
            "phase": str(state.desired.phase),
            "engines": state.engines,
            "staged": state.staged,
            "serving": state.serving,
            "lagging": list(state.lagging),
        }

    def _authorise(self, request: Request, trainer: str) -> Config:
        config = self._configuration.config()
        team = team_of(request, config)
        declared = config["trainers_by_name"].get(trainer)
        if declared is None or declared["team"] != team:
            raise HibiscusError(
                ErrorKind.UNKNOWN_TRAINER, f"Trainer {trainer!r} is unknown."
            )
        return config

    def _acquire_duty(self, trainer: str) -> HeldDuty | None:
        try:
            return self._duties.acquire(_duty_name(trainer))
        except StoreError as error:
            raise HibiscusError(
                ErrorKind.STORE_UNAVAILABLE,
                "The call to the platform's store failed.",
            ) from error

    def _forward(self, request: Request, trainer: str) -> Response:
        if FORWARDED_HEADER in request.headers:
            raise HibiscusError(
                ErrorKind.NOT_HOLDER,
                f"This instance does not hold the duty of trainer {trainer!r}.",
            )
        try:
            holder = self._duties.holder(_duty_name(trainer))
        except StoreError as error:
            raise HibiscusError(
                ErrorKind.STORE_UNAVAILABLE,
                "The call to the platform's store failed.",
            ) from error
        if holder is None:
            raise HibiscusError(
                ErrorKind.NOT_HOLDER,
                f"No instance holds the duty of trainer {trainer!r}.",
            )
        client = HttpClient(parse_address(holder["trainer_address"]))
        query = "&".join(f"{k}={v}" for k, v in request.query.items())
        path = f"{request.path}?{query}" if query else request.path
        headers = {
            "Authorization": request.headers["authorization"],
            "X-Request-Id": request.request_id,
            FORWARDED_HEADER: "1",
        }
        deadline = self._clock.monotonic() + FORWARD_TIMEOUT_S
        try:
            response = client.request(
                request.method,
                path,
                deadline,
                body=request.body or None,
                headers=headers,
            )
        except TargetError as error:
            ran = ExecutionStatus.UNKNOWN if error.sent else ExecutionStatus.NO
            raise HibiscusError(
                ErrorKind.NOT_HOLDER,
                f"The holder of trainer {trainer!r} did not respond.",
                ran,
            ) from error
        finally:
            client.close_idle()
        return Response(response.status, "application/json", response.body)


def _check_max_tokens(body: StepBody, config: Config, trainer: str) -> None:
    """Rejects prompts that exceed the model's `max_tokens`."""
    name = config["trainers_by_name"][trainer]["model"]
    limit = config["models_by_name"][name].get("max_tokens")
    for index, prompt in enumerate(body["prompts"]):
        if limit is not None and prompt["max_tokens"] > limit:
            raise HibiscusError(
                ErrorKind.BAD_FIELD,
                f"Model {name!r} generates at most {limit} tokens - at "
                f"`$.prompts[{index}].max_tokens`",
            )


def _duty_name(trainer: str) -> str:
    return f"trainer/{trainer}"


def _parse_integer(text: str, name: str) -> int:
    if not text.isdigit():
        kind = ErrorKind.BAD_CURSOR if name == "after" else ErrorKind.BAD_FIELD
        raise HibiscusError(kind, f"{name} must be a whole number.")
    return int(text)
