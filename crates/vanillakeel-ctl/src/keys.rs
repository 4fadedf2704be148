//! Keys for a test set of instances: an authority, and a certificate for each instance.

use rcgen::{
    BasicConstraints,
    CertificateParams,
    CertifiedIssuer,
    DnType,
    ExtendedKeyUsagePurpose,
    IsCa,
    KeyPair,
    KeyUsagePurpose, //
};
use std::{
    fs,
    io,
    path::Path, //
};

/// Name of the authority.
const AUTHORITY: &str = "vanillakeel test authority";

/// Why no keys were made.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// no keys: {0}
    Make(rcgen::Error),
    /// no file: {0}
    Write(io::Error),
}

impl std::error::Error for Error {}

impl From<rcgen::Error> for Error {
    fn from(e: rcgen::Error) -> Self {
        Self::Make(e)
    }
}

/// The certificate and key of an instance, in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// The instance's name.
    pub name: String,
    /// Its certificate.
    pub certificate: String,
    /// Its private key.
    pub key: String,
}

/// Keys of a set of instances, in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Set {
    /// Certificate of the authority.
    pub ca: String,
    /// One pair for each instance.
    pub pairs: Vec<Pair>,
}

/// Makes keys for the instances `names`; the authority's own key is not kept.
///
/// # Errors
///
/// Returns an error if a name can't stand in a certificate.
pub fn make(names: &[&str]) -> Result<Set, Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params
        .distinguished_name
        .push(DnType::CommonName, AUTHORITY);
    let authority = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    let pairs = names.iter().map(|name| pair(name, &authority));
    Ok(Set {
        ca: authority.pem(),
        pairs: pairs.collect::<Result<_, _>>()?,
    })
}

fn pair(name: &str, authority: &CertifiedIssuer<'_, KeyPair>) -> Result<Pair, Error> {
    let mut params = CertificateParams::new(vec![name.to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate()?;
    let certificate = params.signed_by(&key, authority)?;
    Ok(Pair {
        name: name.to_owned(),
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}

impl Set {
    /// Writes `ca.pem` and, for each instance, `NAME.pem` and `NAME.key` into a folder.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written.
    pub fn write(&self, folder: &Path) -> Result<(), Error> {
        let write = |name: String, text: &str| fs::write(folder.join(name), text);
        fs::create_dir_all(folder).map_err(Error::Write)?;
        write("ca.pem".to_owned(), &self.ca).map_err(Error::Write)?;
        for pair in &self.pairs {
            write(format!("{}.pem", pair.name), &pair.certificate).map_err(Error::Write)?;
            write(format!("{}.key", pair.name), &pair.key).map_err(Error::Write)?;
        }
        Ok(())
    }
}
