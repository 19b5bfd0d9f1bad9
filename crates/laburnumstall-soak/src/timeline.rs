//! Faults and answers over time, as a plot.

use std::path::Path;
use std::time::Duration;

use laburnumstall_platform_standins::caller::Outcome;
use plotters::prelude::{
    BLUE, ChartBuilder, IntoDrawingArea, LineSeries, RED, Rectangle, SVGBackend, ShapeStyle, WHITE,
};
use plotters::style::{Color, RGBColor};

use crate::report::Report;
use crate::world::{Target, World};

/// Length of a slice of time.
const SLICE: Duration = Duration::from_millis(500);
/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (1_200, 500);

/// Answers of one slice of time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Slice {
    /// Requests that were served.
    pub served: u32,
    /// Requests that were not.
    pub others: u32,
}

/// Counts the answers by the time at which they came.
pub(crate) fn answers(world: &World) -> Vec<Slice> {
    let mut slices = Vec::new();
    for record in world.ledger.borrow().iter() {
        let index = (record.ended_at.as_millis() / SLICE.as_millis()) as usize;
        if slices.len() <= index {
            slices.resize(index + 1, Slice::default());
        }
        match record.outcome {
            Outcome::Served => slices[index].served += 1,
            _ => slices[index].others += 1,
        }
    }
    slices
}

impl Report {
    /// Draws faults and answers over time into an SVG file.
    ///
    /// # Errors
    ///
    /// What the drawing library said.
    pub fn plot(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let seconds = self.answers.len() as f64 * SLICE.as_secs_f64();
        let most = self
            .answers
            .iter()
            .map(|slice| slice.served.max(slice.others));
        let most = f64::from(most.max().unwrap_or(1));
        let caption = format!(
            "seed {}: served (blue), not served (red), faults (bars)",
            self.seed
        );
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .caption(caption, ("sans-serif", 16))
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..seconds, 0.0..most * 1.1)?;
        chart
            .configure_mesh()
            .x_desc("s")
            .y_desc("answers in 0.5 s")
            .draw()?;
        let height = most * 1.1 / (self.faults.len().max(1) as f64);
        let bars = self.faults.iter().enumerate().map(|(row, fault)| {
            let (from, until) = (fault.from.as_secs_f64(), fault.until.as_secs_f64());
            let (low, until) = (row as f64 * height, until.max(from + 0.1).min(seconds));
            Rectangle::new([(from, low), (until, low + height)], style(fault.on))
        });
        chart.draw_series(bars)?;
        let line = |value: fn(&Slice) -> u32| {
            let points = self.answers.iter().enumerate();
            let points = points.map(move |(index, slice)| {
                (index as f64 * SLICE.as_secs_f64(), f64::from(value(slice)))
            });
            points.collect::<Vec<_>>()
        };
        chart.draw_series(LineSeries::new(line(|slice| slice.served), &BLUE))?;
        chart.draw_series(LineSeries::new(line(|slice| slice.others), &RED))?;
        area.present()?;
        Ok(())
    }
}

fn style(on: Target) -> ShapeStyle {
    let color = match on {
        Target::Daemon(_) => RGBColor(220, 160, 60),
        Target::Store => RGBColor(140, 100, 200),
        Target::Endpoint(_) | Target::Service(_) => RGBColor(90, 170, 110),
        Target::Operators => RGBColor(120, 120, 120),
    };
    color.mix(0.35).filled()
}
