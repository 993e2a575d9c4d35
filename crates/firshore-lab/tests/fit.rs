//! Slopes through measured points.

use firshore_lab::fit::Fit;

#[test]
fn a_line_is_found_exactly() {
    let fit = Fit::through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.intercept - 3.0).abs() < 1e-9);
    assert!(fit.slope_error < 1e-9);
    assert!((fit.at(10.0) - 23.0).abs() < 1e-9);
}

#[test]
fn scattered_points_have_an_error() {
    let fit = Fit::through(&[(0.0, 0.0), (1.0, 2.0), (2.0, 2.0), (3.0, 4.0)]).unwrap();
    assert!((fit.slope - 1.2).abs() < 1e-9);
    assert!(fit.slope_error > 0.1);
}

#[test]
fn too_few_points_have_no_slope() {
    assert_eq!(Fit::through(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(Fit::through(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]), None);
}
