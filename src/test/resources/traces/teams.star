# Two teams on the classes of quetta-desk, for the trace with contracts.
contract(
    id = "desk",
    share = 0.5,
    ceiling = 0.7,
    client_retries = 0.3,
    platform = ["desk-move", "desk-look"],
    classes = {"desk-move": terms(), "desk-look": terms(wanted_ms = 900, worth = 2)},
    default = True,
)

contract(
    id = "sums",
    share = 0.3,
    burst_ms = 1500,
    borrow = False,
    platform = ["desk-sum"],
    classes = {"desk-sum": terms(least_share = 0.9)},
)
