//! A quantity measured at several sizes.

use {
    crate::fit::Fit,
    std::fmt::{self, Display, Formatter},
};

/// A quantity measured at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// Measured quantity, with its unit.
    pub quantity: &'static str,
    /// What the size counts.
    pub size: &'static str,
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
}

impl Series {
    /// Names of the columns of a printed row.
    pub const HEADER: &str = "quantity | varied | slope | at 0 | R^2 | sizes: values";
    /// Names of the columns of a CSV row.
    pub const CSV_HEADER: &str = "quantity,varied,slope,intercept,r_squared,points";

    /// Creates a series without points.
    pub fn new(quantity: &'static str, size: &'static str) -> Self {
        Self {
            quantity,
            size,
            points: Vec::new(),
        }
    }

    /// Adds a point.
    pub fn add(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    /// Formats the series as a row of the CSV file.
    pub fn csv(&self) -> String {
        let fit = Fit::of(&self.points);
        format!(
            "\"{}\",\"{}\",{:.6e},{:.6e},{:.4},\"{}\"",
            self.quantity,
            self.size,
            fit.slope,
            fit.intercept,
            fit.r_squared,
            self.points_text()
        )
    }

    fn points_text(&self) -> String {
        let points = self.points.iter();
        let texts: Vec<String> = points
            .map(|(size, value)| format!("{size}: {}", short(*value)))
            .collect();
        texts.join("; ")
    }
}

impl Display for Series {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let fit = Fit::of(&self.points);
        write!(
            formatter,
            "{} | {} | {} | {} | {:.3} | {}",
            self.quantity,
            self.size,
            short(fit.slope),
            short(fit.intercept),
            fit.r_squared,
            self.points_text()
        )
    }
}

/// Formats a value with at least three significant digits.
fn short(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let decimals = (0..9).find(|decimals| value.abs() * 10_f64.powi(*decimals) >= 100.0);
    let decimals = usize::try_from(decimals.unwrap_or(9)).unwrap_or(0);
    format!("{value:.decimals$}")
}
