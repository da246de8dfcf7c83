import pytest

from medlarridge._internal.state import keys


class TestKeys:
    def test_all_keys_differ(self):
        """Guards against two kinds of objects that share a key."""
        all_keys = [
            keys.ROUTES_TABLE,
            keys.POOLS_TABLE,
            keys.TABLE_STATUS,
            keys.ACCEPTED_CONFIGURATION,
            keys.audit_key(keys.ROUTES_TABLE, 1),
            keys.audit_key(keys.POOLS_TABLE, 1),
            keys.ledger_head_key("libro-enchufes", 1),
            keys.ledger_head_key("libro-enchufes", 11),
            keys.suspects_key(1),
            keys.lease_key("acceptance"),
            keys.orders_key("10.0.0.1:7000"),
        ]
        assert len(set(all_keys)) == len(all_keys)

    @pytest.mark.parametrize("segment", ["", "..", "a/b", "a b", "a?x", "a%2fb", "a\n"])
    def test_refuses_a_segment_that_addresses_another_object(self, segment):
        """Guards against an external name that changes the path of a key."""
        for key_of in (keys.lease_key, keys.orders_key):
            with pytest.raises(ValueError, match="object key"):
                key_of(segment)

    def test_accepts_addresses_of_both_ip_versions(self):
        """Guards against a process with an IPv6 address that cannot write its objects."""
        assert keys.orders_key("[fd00::1]:7000") == "orders/[fd00::1]:7000"
        assert keys.audit_key("drains/[fd00::1]:7000", 1).startswith("audit/drains/[")

    def test_audit_keys_sort_by_version(self):
        """Guards against a history that is out of order."""
        ordered = [keys.audit_key("tables/routes", v) for v in (2, 10, 123_456)]
        assert ordered == sorted(ordered)
