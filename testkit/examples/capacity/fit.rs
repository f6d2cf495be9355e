use serde_json::{json, Value};

/// Measured points and the line through them by least squares.
#[derive(Debug)]
pub struct Slope {
    pub what: &'static str,
    /// Unit of the slope, for example `bytes an adapter`.
    pub unit: &'static str,
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    pub fn new(what: &'static str, unit: &'static str, points: Vec<(f64, f64)>) -> Self {
        Self { what, unit, points }
    }
    /// Returns the slope, the intercept, and the coefficient of determination.
    pub fn fit(&self) -> (f64, f64, f64) {
        let count = self.points.len() as f64;
        let mean_x = self.points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|p| p.1).sum::<f64>() / count;
        let xx: f64 = self.points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let xy: f64 = self
            .points
            .iter()
            .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
            .sum();
        let yy: f64 = self.points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        let r_squared = if xx * yy > 0.0 {
            xy * xy / (xx * yy)
        } else {
            1.0
        };
        (slope, mean_y - slope * mean_x, r_squared)
    }
    /// Returns a row of a Markdown table.
    pub fn row(&self) -> String {
        let (slope, intercept, r_squared) = self.fit();
        let points = self.points.iter().map(|(x, y)| format!("{x}: {y:.1}"));
        let points: Vec<String> = points.collect();
        format!(
            "| {} | {} | {} | {slope:.4} | {intercept:.1} | {r_squared:.3} |",
            self.what,
            self.unit,
            points.join(", ")
        )
    }
    pub fn json(&self) -> Value {
        let (slope, intercept, r_squared) = self.fit();
        json!({
            "what": self.what,
            "unit": self.unit,
            "points": self.points,
            "slope": slope,
            "base": intercept,
            "fit": r_squared,
        })
    }
}
