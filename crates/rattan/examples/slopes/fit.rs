//! Linear regression by least squares.

/// `value = intercept + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Change of the value per unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Share of the variance that the line explains; 1 for a perfect line.
    pub r_squared: f64,
}

impl Fit {
    /// Fits a line to at least two points of different size.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let size_variance = sum(points, |size, _| (size - mean_size).powi(2));
        let covariance = sum(points, |size, value| {
            (size - mean_size) * (value - mean_value)
        });
        let slope = covariance / size_variance;
        let intercept = mean_value - slope * mean_size;
        let total = sum(points, |_, value| (value - mean_value).powi(2));
        let unexplained = sum(points, |size, value| {
            (value - intercept - slope * size).powi(2)
        });
        Self {
            slope,
            intercept,
            r_squared: if total == 0.0 {
                1.0
            } else {
                1.0 - unexplained / total
            },
        }
    }
}

fn sum<Term>(points: &[(f64, f64)], term: Term) -> f64
where
    Term: Fn(f64, f64) -> f64,
{
    points.iter().map(|(size, value)| term(*size, *value)).sum()
}
