use super::table_group;

#[test]
fn finds_the_group() {
    for (statement, group) in [
        ("select * from sales_17.orders", Some(17)),
        ("SELECT a_5.x FROM\n\tSales_17.orders AS a_5 where a_5.y = 'from x_3.t'", Some(17)),
        ("select 'it''s from b_2.t', \"q_9.z\".c from \"my_sales_4\".\"t\"\"x\"", Some(4)),
        ("-- from b_2.t\nselect /* from c_3.t /* d */ from e_1.f */ 1 from g_6.h", Some(6)),
        ("insert into sales_8.orders select * from staging.new_3", Some(8)),
        ("insert into staging.x select * from sales_8.orders", Some(8)),
        ("select * from staging_7.x, b_2.y", Some(2)),
        ("select extract(year from a_5.d), b_6.x from sales_17.orders a_5, c_17.d b_6", Some(17)),
        ("select * from (select * from a_3.t) x join b_3.u on x.a is distinct from c_9.d", Some(3)),
        ("with a_1 as (select y_2.z from s_12.t y_2) select a_1.z from a_1", Some(12)),
        ("update s_5.t set x = 1 from staging.y", Some(5)),
        ("delete from only s_5.t", Some(5)),
        ("merge into db_1.s_5.t using staging.y on a_2.b = y.c", Some(5)),
        ("copy s_5.t from stdin", Some(5)),
        ("select 1 from t for update of a_5.x", None),
        ("select a_5.x", None),
        ("select $q$ from a_1.b $q$ from c_2.d", Some(2)),
        ("'", None),
        ("", None),
    ] {
        assert_eq!(table_group(statement), group, "{statement}");
    }
}
