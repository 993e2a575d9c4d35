//! Reports of experiments: `report.json`, a readable page, plots, and the table on the terminal.

use plotters::prelude::*;
use serde::Serialize;
use std::io;
use std::path::Path;

const PLOT_SIZE: (u32, u32) = (800, 480);

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// Name, stable across versions.
    pub name: String,
    /// Unit.
    pub unit: String,
    /// Measured value.
    pub value: f64,
    /// The same figure of the baseline in the same run.
    pub baseline: Option<f64>,
    /// Limit that the value must keep.
    pub limit: Option<f64>,
    /// Whether it does; `None` without a limit.
    pub met: Option<bool>,
}

/// Lines of one plot: a name and its points.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points.
    pub points: Vec<(f64, f64)>,
}

/// A report under construction.
#[derive(Debug, Serialize)]
pub struct Report {
    experiment: String,
    version: String,
    seed: u64,
    figures: Vec<Figure>,
    #[serde(skip)]
    notes: Vec<String>,
    #[serde(skip)]
    plots: Vec<String>,
}

impl Report {
    /// An empty report.
    pub fn new(experiment: &str, seed: u64) -> Self {
        Self {
            experiment: experiment.to_owned(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            seed,
            figures: Vec::new(),
            notes: Vec::new(),
            plots: Vec::new(),
        }
    }

    fn add(
        &mut self,
        name: &str,
        unit: &str,
        value: f64,
        baseline: Option<f64>,
        limit: Option<f64>,
        met: Option<bool>,
    ) {
        self.figures.push(Figure {
            name: name.to_owned(),
            unit: unit.to_owned(),
            value,
            baseline,
            limit,
            met,
        });
    }

    /// Adds a figure without a limit.
    pub fn figure(&mut self, name: &str, unit: &str, value: f64, baseline: Option<f64>) {
        self.add(name, unit, value, baseline, None, None);
    }

    /// Adds a figure that must be at most `limit`.
    pub fn at_most(
        &mut self,
        name: &str,
        unit: &str,
        value: f64,
        limit: f64,
        baseline: Option<f64>,
    ) {
        self.add(
            name,
            unit,
            value,
            baseline,
            Some(limit),
            Some(value <= limit),
        );
    }

    /// Adds a figure that must be at least `limit`.
    pub fn at_least(
        &mut self,
        name: &str,
        unit: &str,
        value: f64,
        limit: f64,
        baseline: Option<f64>,
    ) {
        self.add(
            name,
            unit,
            value,
            baseline,
            Some(limit),
            Some(value >= limit),
        );
    }

    /// Adds a sentence to the readable page.
    pub fn note(&mut self, sentence: impl Into<String>) {
        self.notes.push(sentence.into());
    }

    /// Writes a plot as `DIR/name.svg` and links it from the page.
    pub fn plot(
        &mut self,
        folder: &Path,
        name: &str,
        axes: (&str, &str),
        series: &[Series],
    ) -> io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join(format!("{name}.svg"));
        draw(&path, axes, series).map_err(|error| io::Error::other(error.to_string()))?;
        self.plots.push(format!("{name}.svg"));
        Ok(())
    }

    /// Whether every figure with a limit keeps it.
    pub fn met(&self) -> bool {
        self.figures.iter().all(|figure| figure.met != Some(false))
    }

    /// Writes `report.json` and `report.md` and prints the table; returns [`Self::met`].
    pub fn write(&self, folder: &Path) -> io::Result<bool> {
        std::fs::create_dir_all(folder)?;
        let json = serde_json::to_string_pretty(self).expect("reports serialise");
        std::fs::write(folder.join("report.json"), json + "\n")?;
        let table = self.table();
        let mut page = format!("# {}\n\nSeed {}.\n\n{table}\n", self.experiment, self.seed);
        for note in &self.notes {
            page.push_str(&format!("- {note}\n"));
        }
        for plot in &self.plots {
            page.push_str(&format!("\n![{plot}]({plot})\n"));
        }
        std::fs::write(folder.join("report.md"), page)?;
        println!("{table}");
        for note in &self.notes {
            println!("{note}");
        }
        Ok(self.met())
    }

    fn table(&self) -> String {
        let mut text = String::from("| figure | unit | value | baseline | limit | met |\n");
        text.push_str("|---|---|---:|---:|---:|---|\n");
        let number =
            |value: Option<f64>| value.map_or(String::new(), |value| format!("{value:.4}"));
        for figure in &self.figures {
            let met = figure.met.map_or("", |met| if met { "yes" } else { "NO" });
            text.push_str(&format!(
                "| {} | {} | {} | {} | {} | {met} |\n",
                figure.name,
                figure.unit,
                number(Some(figure.value)),
                number(figure.baseline),
                number(figure.limit),
            ));
        }
        text
    }
}

fn bounds(values: impl Iterator<Item = f64>) -> std::ops::Range<f64> {
    let (low, high) = values.fold((0.0_f64, f64::MIN), |(low, high), value| {
        (low.min(value), high.max(value))
    });
    if high > low {
        low..high * 1.05
    } else {
        low..low + 1.0
    }
}

fn draw(
    path: &Path,
    axes: (&str, &str),
    series: &[Series],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || series.iter().flat_map(|line| line.points.iter());
    let horizontal = bounds(points().map(|point| point.0));
    let vertical = bounds(points().map(|point| point.1));
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(horizontal, vertical)?;
    chart
        .configure_mesh()
        .x_desc(axes.0)
        .y_desc(axes.1)
        .draw()?;
    for (number, line) in series.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), &color))?
            .label(line.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}
