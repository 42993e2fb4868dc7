//! Draws the results as a chart.

use {
    crate::{Failure, outcome::Outcome},
    plotters::prelude::{
        BLACK, ChartBuilder, Color, IntoDrawingArea, IntoFont, RGBColor, Rectangle, SVGBackend,
        Text, WHITE,
    },
    std::path::Path,
};

const SIZE: (u32, u32) = (1_200, 560);
const OWN_COLOR: RGBColor = RGBColor(31, 119, 180);
const SIMPLE_COLOR: RGBColor = RGBColor(160, 160, 160);
const FAULT_COLOR: RGBColor = RGBColor(214, 120, 40);
const LABEL_HEIGHT: i32 = 14;

/// Draws the p95 of the time to first token of each run as a bar.
pub fn draw(outcomes: &[Outcome], path: &Path) -> Result<(), Failure> {
    let highest = outcomes.iter().map(|it| it.first_token_ms[1]);
    let highest = highest.filter(|it| it.is_finite()).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let count = u32::try_from(outcomes.len())?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Time to first token, p95 in ms", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(10)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..f64::from(count), 0.0..highest * 1.4)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .disable_x_axis()
        .draw()?;
    let bars = outcomes.iter().zip(0..count).map(|(outcome, position)| {
        let left = f64::from(position) + 0.1;
        let corners = [(left, 0.0), (left + 0.8, outcome.first_token_ms[1])];
        Rectangle::new(corners, color(outcome).filled())
    });
    chart.draw_series(bars)?;
    let style = ("sans-serif", LABEL_HEIGHT)
        .into_font()
        .transform(plotters::style::FontTransform::Rotate270)
        .color(&BLACK);
    let labels = outcomes.iter().zip(0..count).map(|(outcome, position)| {
        let at = (
            f64::from(position) + 0.3,
            outcome.first_token_ms[1] + highest * 0.02,
        );
        let text = format!(
            "{} {} {}",
            outcome.deployment, outcome.policy, outcome.condition
        );
        Text::new(text, at, style.clone())
    });
    chart.draw_series(labels)?;
    area.present()?;
    Ok(())
}

fn color(outcome: &Outcome) -> RGBColor {
    if outcome.policy != "cost" {
        SIMPLE_COLOR
    } else if outcome.condition == crate::condition::Condition::Healthy {
        OWN_COLOR
    } else {
        FAULT_COLOR
    }
}
