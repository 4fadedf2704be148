//! SVG plots of the attainment by tier, one for each deployment and scenario.
//!
//! The attainment is the fraction of the requests that met their targets.

use super::outcome::Figures;
use plotters::prelude::{
    BLACK,
    ChartBuilder,
    Color as _,
    IntoDrawingArea as _,
    LineSeries,
    Palette as _,
    Palette99,
    PathElement,
    SVGBackend,
    WHITE, //
};
use std::{
    collections::BTreeMap,
    error::Error,
    fs,
    path::Path, //
};

/// Width and height of a plot in pixels.
const SIZE_PX: (u32, u32) = (760, 420);

/// Points of a line: the tier, and the mean attainment over the seeds.
type Line = Vec<(f64, f64)>;

/// Writes the file `SIZE-SCENARIO.svg` for each size and scenario into a folder.
///
/// # Errors
///
/// Returns an error if the folder cannot be created or a plot cannot be written.
pub(super) fn write(folder: &Path, runs: &[Figures]) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(folder)?;
    let mut groups: BTreeMap<(&str, &str), Vec<&Figures>> = BTreeMap::new();
    for run in runs {
        let key = (run.size.as_str(), run.scenario.as_str());
        groups.entry(key).or_default().push(run);
    }
    for ((size, scenario), runs) in groups {
        let path = folder.join(format!("{size}-{scenario}.svg"));
        draw(&path, &format!("{size}, {scenario}"), &lines(&runs))?;
    }
    Ok(())
}

/// Returns a named line for each policy, in the order of the runs.
fn lines(runs: &[&Figures]) -> Vec<(String, Line)> {
    let mut names: Vec<&str> = Vec::new();
    for run in runs {
        if !names.contains(&run.policy.as_str()) {
            names.push(&run.policy);
        }
    }
    names
        .iter()
        .map(|name| ((*name).to_owned(), line(runs, name)))
        .collect()
}

/// Returns the line of one policy.
fn line(runs: &[&Figures], policy: &str) -> Line {
    let policy_runs: Vec<&&Figures> = runs.iter().filter(|r| r.policy == policy).collect();
    let tiers = policy_runs[0].tier_attainment.keys();
    let mean = |tier: &u8| {
        let sum: f64 = policy_runs.iter().map(|r| r.tier_attainment[tier]).sum();
        (f64::from(*tier), sum / policy_runs.len() as f64)
    };
    tiers.map(mean).collect()
}

/// Draws one plot.
fn draw(path: &Path, caption: &str, lines: &[(String, Line)]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..4.2, 0.0..1.05)?;
    chart
        .configure_mesh()
        .x_labels(5)
        .x_desc("tier, 0 is the highest")
        .y_desc("attainment")
        .draw()?;
    for (index, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let style = color.stroke_width(2);
        chart
            .draw_series(LineSeries::new(points.clone(), style))?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
