# Three teams on one aggregator: the donors' app, the stock desk and the booking partners (docs/contracts.md walks through it).

opensearch(
    listen = "127.0.0.1:9201",
    indices = {
        "slots": {"class": "slot-search"},
        "bookings": {"class": "slot-booking"},
    },
)
accounts(list = True)

# Shares are of what this aggregator can do just then. 0.05 is nobody's: it is lent to whoever wants it.
shares = {"donor-app": 0.40, "stock-desk": 0.30, "partners": 0.25}

def key(id, salt, sha256):
    return {"id": id, "salt": salt, "sha256": sha256}

contract(
    id = "donor-app",
    share = shares["donor-app"],
    ceiling = 0.8,
    client_retries = 0.5,
    platform = ["slot-search"],
    classes = {"slot-search": terms()},
    default = True,
)

contract(
    id = "stock-desk",
    share = shares["stock-desk"],
    burst_ms = 1500,
    platform = ["stock-report"],
    classes = {"stock-report": terms(least_share = 0.9)},
)

contract(
    id = "partners",
    share = shares["partners"],
    borrow = False,
    lend = True,
    indices = ["bookings"],
    keys = [
        key(
            "partners-2026",
            "5f1c0de29a77b340",
            "0d2f3a6f4c3e5f1b6a7988c1d2e3f4a5b6c7d8e9f00112233445566778899aab",
        ),
    ],
    classes = {"slot-booking": terms(wanted_ms = 400, worth = 2)},
)
