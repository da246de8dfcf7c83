"""The two workloads of the demo, at their current size."""

from dataclasses import dataclass

ENGINES = 10
SERVICE_SERVERS = 3
ROUTERS = 2


@dataclass(frozen=True)
class Prompts:
    """Prompt texts of a workload's requests."""

    system_prompt: str
    chat: str
    follow_up: str
    streamed: str
    long: str
    crashing: str


@dataclass(frozen=True)
class Workload:
    """Names and requests of one fleet.

    ``call`` describes the service call that must run at most once. A request whose
    text contains ``crash_marker`` crashes the engine that runs it.
    """

    name: str
    region: str
    data_centres: tuple[str, ...]
    accounts: tuple[str, ...]
    engine_pool: str
    engine_route: str
    new_route: str
    service_pool: str
    service_route: str
    call: str
    call_path: str
    call_key: str
    call_body: dict[str, object]
    crash_marker: str
    prompts: Prompts


DAR_QISSARIA = Workload(
    name="Dar Qissaria Analytics",
    region="maghreb-west",
    data_centres=("data-centre-anfa", "data-centre-agdal", "data-centre-gueliz"),
    accounts=("casablanca-arcades", "fes-medina", "marrakech-souks"),
    engine_pool="souk-model",
    engine_route="footfall",
    new_route="leaseholder-figures",
    service_pool="client-account-desk",
    service_route="invoices",
    call="invoice dispatch",
    call_path="dispatch",
    call_key="invoice-2026-11-0417",
    call_body={"shop": "Galerie Bab Ftouh 12", "month": "2026-11", "dirham": 4180},
    crash_marker="sheet with a torn tag",
    prompts=Prompts(
        system_prompt="You write footfall reports for the arcades from the script. "
        * 12,
        chat="Write the November narrative for the galleries of Fes.",
        follow_up="Add the figures of the second weekend.",
        streamed="How busy was the gallery at Bab Ftouh on Saturday?",
        long="Write the yearly narrative of all arcades of Marrakech.",
        crashing="Tag this sheet with a torn tag, row 7.",
    ),
)
COOPERATIVA = Workload(
    name="Cooperativa Enchufes Frios del Pacifico",
    region="pacifico-mx",
    data_centres=("manzanillo-a", "manzanillo-b", "lazaro-c"),
    accounts=("planners-manzanillo", "gate-lazaro", "reefer-technicians"),
    engine_pool="asistente-frio",
    engine_route="plug-plan",
    new_route="alarm-summaries",
    service_pool="libro-enchufes",
    service_route="plug-ledger",
    call="plug assignment",
    call_path="assign",
    call_key="plug-b17-row4-2026-12-03",
    call_body={"plug": "B17-4", "container": "CEFU 204471 3", "setpoint_c": -18},
    crash_marker="manifest without a page",
    prompts=Prompts(
        system_prompt="You draft plug plans from manifests and the yard map. " * 12,
        chat="Draft the night's plug plan for the vessel at berth 14.",
        follow_up="Move the shrimp containers closer to the gate.",
        streamed="What is the setpoint of container CEFU 204471 3?",
        long="Draft the plug plan of the whole week for both yards.",
        crashing="Read this manifest without a page, hold 3.",
    ),
)
WORKLOADS = (DAR_QISSARIA, COOPERATIVA)
