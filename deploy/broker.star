# Settings of the operators in addition to the platform's configuration. LB_BROKER is the path of this file or another one; if
# it is unset, as on the platform, there are no contracts. docs/contracts.md explains every key;
# `java -jar target/bitternpulley.jar check FILE` checks a file.

# The OpenSearch-style front end; listen = None disables it.
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

# Membership: which other aggregators are running (docs/membership.md); on = False disables it.
membership(on = False)

# Leases: whether the load limit of servers that warm up is divided by the number of running aggregators instead of the
# configured number; needs membership().
leases(on = False)

# Whether the admin endpoint lists the accounts (call: accounts).
accounts(list = True)
