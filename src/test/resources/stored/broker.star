# What operators set beyond the platform's own configuration. LB_BROKER names this file or another; unset, as on the platform,
# there are no contracts. docs/contracts.md explains every key; `java -jar target/bitternpulley.jar check FILE` checks a file.

# The OpenSearch-style front; listen = None: off.
opensearch(
    listen = None,
    server_port = 9200,
    max_result_window = 10000,
    max_searches = 64,
    max_part_bytes = 256 * 1024,
    indices = {
        "slots": {"class": "slot-search"},
        "bookings": {"class": "slot-booking"},
        "stock": {"class": "stock-report"},
    },
)

# Who of the other aggregators is here (docs/membership.md); on = False: off.
membership(on = False)

# Whether what cold servers bear is divided by those that run, not by the number configured; needs membership().
leases(on = False)

# Whether the operators' door lists the accounts (call: accounts).
accounts(list = True)
