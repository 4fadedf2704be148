//! Reading of the rate that an upstream names.

use rstest::rstest;
use vanillakeel::rate_limits::{
    BadRate,
    Rate, //
};

/// Guards against values that switch the limit off, or stop all requests for good: an upstream is not to be
/// asked never again, as only its answers show the end of its need.
#[rstest]
#[case::whole("12", Ok(12.0))]
#[case::decimal(" 1.9 ", Ok(1.9))]
#[case::without_whole_part(".5", Ok(0.5))]
#[case::zero("0", Ok(0.1))]
#[case::tiny("0.0000001", Ok(0.1))]
#[case::huge("99999999999999999999", Ok(1e6))]
#[case::negative("-1", Err(BadRate::NotDecimal))]
#[case::negative_zero("-0", Err(BadRate::NotDecimal))]
#[case::signed("+1", Err(BadRate::NotDecimal))]
#[case::exponent("1e3", Err(BadRate::NotDecimal))]
#[case::infinite("inf", Err(BadRate::NotDecimal))]
#[case::no_number("NaN", Err(BadRate::NotDecimal))]
#[case::two_points("1.2.3", Err(BadRate::NotDecimal))]
#[case::point(".", Err(BadRate::NotDecimal))]
#[case::two_values("1, 2", Err(BadRate::NotDecimal))]
#[case::empty("", Err(BadRate::NotDecimal))]
#[case::long("1.00000000000000000000000000000000", Err(BadRate::TooLong))]
fn rate_texts(#[case] text: &str, #[case] expected: Result<f64, BadRate>) {
    assert_eq!(Rate::parse(text).map(Rate::per_second), expected);
}

/// Guards against numbers of peers that no upstream can have named.
#[rstest]
#[case::finite(2.0, Some(2.0))]
#[case::infinite(f64::INFINITY, None)]
#[case::no_number(f64::NAN, None)]
#[case::negative(-0.5, None)]
fn rate_numbers(#[case] number: f64, #[case] expected: Option<f64>) {
    assert_eq!(Rate::new(number).map(Rate::per_second), expected);
}
